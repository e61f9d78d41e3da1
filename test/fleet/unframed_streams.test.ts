import {afterEach, beforeEach, expect, test} from 'vitest';
import type {EngineFault, HostEngine} from './fixtures/host_engine';
import {eventually} from './fixtures/host_site';
import {
  AS_ENGINE,
  startShortObjectiveSite,
  WHOLE_STREAM,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';

let fixture: ShortObjectiveSite;

beforeEach(async () => {
  fixture = await startShortObjectiveSite();
  await fixture.startTarget('plain');
  const engines = await Promise.all(
    ['one', 'two'].map(name => fixture.startTarget(name, AS_ENGINE)),
  );
  await fixture.serve();
  await eventually(() => {
    const lines = JSON.stringify(fixture.site.lines);
    return engines.every(({instance}) => lines.includes(instance));
  });
});

afterEach(() => fixture.close());

/** Sets the fault on the first target that runs a request. */
function injectFault(fault: EngineFault): readonly HostEngine[] {
  const begun: HostEngine[] = [];
  fixture.setOnRun(engine => {
    engine.setFault(begun.length === 0 ? fault : {kind: 'none'});
    begun.push(engine);
  });
  return begun;
}

test('a stream that ends with its connection is forwarded', async () => {
  const begun = injectFault({
    kind: 'unframedStream',
    breaksAfter: undefined,
    by: 'end',
  });
  const {status, text} = await fixture.sendRequest('going');
  expect(begun).toHaveLength(1);
  expect(status).toBe(200);
  expect(text).toContain(WHOLE_STREAM);
});

async function checkResumed(by: 'crash' | 'end' | 'halfEvent', after: number) {
  const begun = injectFault({kind: 'unframedStream', breaksAfter: after, by});
  const {status, text} = await fixture.sendRequest('going');
  expect(begun).toHaveLength(2);
  expect(status).toBe(200);
  expect(text).toContain(WHOLE_STREAM);
}

test.each([0, 1, 2])(
  'a stream whose target crashes after %i events and closes its connection is resumed at another target',
  after => checkResumed('crash', after),
);

test.each([0, 1, 2])(
  'a stream that ends with its connection inside an event, after %i others, is resumed at another target',
  after => checkResumed('halfEvent', after),
);

test('a stream that ends with its connection without an event is resumed at another target', () =>
  checkResumed('end', 0));
