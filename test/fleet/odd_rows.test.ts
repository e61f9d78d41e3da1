import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

let site: HostSite;
let engines: readonly HostEngine[];

beforeEach(async () => {
  site = await startHostSite();
  engines = await Promise.all(
    ['one', 'later'].map(instance => startHostEngine({instance})),
  );
});

afterEach(async () => {
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
});

const ODD_MEMBER = {
  instance: 'odd',
  zone: 'north',
  address: '127.0.0.1:99999',
  callerAddress: '127.0.0.1:99999',
  life: 'odd-life',
};

const linesOn = (key: string): readonly unknown[] =>
  site.lines.filter(
    ({fields}) => (fields as {readonly key?: unknown} | undefined)?.key === key,
  );

// Guards against an entry that one odd row keeps from serving, or from
// following the list.
test.each([
  ['a port out of range', {Address: '127.0.0.1:99999'}],
  ['the port 0', {Address: '127.0.0.1:0'}],
  ['an octet out of range', {Address: '999.0.0.1:8005'}],
  ['a number that is too large', {Slots: 1e300}],
])(
  'an entry serves and follows the list beside a row with %s',
  async (_, odd) => {
    const [one, later] = engines as [HostEngine, HostEngine];
    site.register(one);
    site.configure();
    const {settings} = await site.startEntry();
    await eventually(() => isReady(settings.readinessAddress));
    site.register(one, odd, 'odd');
    await eventually(() => linesOn('odd').length > 0);
    for (let sent = 0; sent < 20; sent += 1) {
      expect((await send(settings.callerAddress, '/unsafe/a')).status).toBe(
        200,
      );
    }
    site.register(later);
    await eventually(async () => {
      const pair = [1, 2, 3].map(() =>
        send(settings.callerAddress, '/unsafe/a'),
      );
      const statuses = (await Promise.all(pair)).map(({status}) => status);
      expect(statuses).toEqual([200, 200, 200]);
      return later.arrivals.length > 0;
    });
    expect(linesOn('odd')).toHaveLength(1);
  },
);

test.each(['entry', 'agent'])(
  'an entry follows the members beside an odd row of an %s',
  async role => {
    const [one] = engines as [HostEngine, HostEngine];
    site.register(one);
    site.configure();
    site.store.write('members', 'odd', {...ODD_MEMBER, role});
    const {settings} = await site.startEntry();
    await eventually(() => isReady(settings.readinessAddress));
    const other = await site.startEntry();
    await eventually(() => isReady(other.settings.readinessAddress));
    await eventually(() =>
      site.lines
        .filter(({message}) => message === 'members')
        .some(({fields}) =>
          (fields as {readonly others: readonly string[]}).others.includes(
            other.settings.instance,
          ),
        ),
    );
    expect(linesOn('odd')).toHaveLength(2);
    expect((await send(settings.callerAddress, '/unsafe/a')).status).toBe(200);
  },
);
