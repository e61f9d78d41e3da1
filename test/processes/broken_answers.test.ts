import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {
  breakHead,
  BROKEN_NAME_HEADS,
  BROKEN_VALUE_HEADS,
  ODD_STATUS_HEADS,
  STOPPED_HEADS,
} from '../fleet/fixtures/broken_heads';
import {isReady, send} from '../fleet/fixtures/host_caller';
import {startHostEngine, type HostEngine} from '../fleet/fixtures/host_engine';
import {
  eventually,
  startHostSite,
  type HostSite,
} from '../fleet/fixtures/host_site';
import {startRawTarget, type RawTarget} from '../fleet/fixtures/raw_target';
import {startEntryProcess, type EntryProcess} from '../soak/fleet_process';

/** Streams that are served meanwhile, one after the other. */
const EVENTS = 20;
const PAUSE_MS = 50;

const HEADS = [
  ...BROKEN_NAME_HEADS,
  ...BROKEN_VALUE_HEADS,
  ...ODD_STATUS_HEADS,
  ...STOPPED_HEADS,
];

const EVENT = 'id: 1\ndata: odd\n\n';

/** A request, and the sound answer to it. */
interface Exchange {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly status: string;
  readonly body: string;
}

const EXCHANGES: readonly Exchange[] = [
  {path: '/safe/a', status: '200', body: 'odd', headers: {}},
  {path: '/unsafe/a', status: '400', body: 'odd', headers: {}},
  {
    path: '/stream/a',
    status: '200',
    body: EVENT,
    headers: {'x-hibiscusbeam-model': 'odd'},
  },
];

/**
 * The lenient parser of Node.js takes what its writer refuses, and stands for
 * any parser that does.
 */
const PARSERS = [
  {name: 'its parser', flags: []},
  {name: 'a lenient parser', flags: ['--insecure-http-parser']},
];

describe.each(PARSERS)('an entry with $name', ({flags}) => {
  let site: HostSite;
  let sound: HostEngine;
  let odd: RawTarget;
  let store: RawTarget;
  let entry: EntryProcess;
  let folder: string;

  beforeAll(async () => {
    site = await startHostSite();
    sound = await startHostEngine({
      instance: 'sound',
      version: 1,
      events: EVENTS,
      pause: PAUSE_MS,
    });
    odd = await startRawTarget('odd');
    store = await startRawTarget('store');
    store.forwardTo(site.store.address);
    const engineOf = (Name: string) => ({
      Service: 'engines',
      Models: [{Name, Version: 1, Adapters: []}],
    });
    site.register(sound, engineOf('model'));
    site.register(odd, engineOf('odd'));
    site.register(odd, {}, 'odd-plain');
    site.configure();
    folder = mkdtempSync(join(tmpdir(), 'broken-answers-'));
    const usual = await site.entrySettings();
    const settings = {
      ...usual,
      store: {...usual.store, address: store.address},
    };
    entry = startEntryProcess({settings, folder, pause: 100, flags});
    await eventually(() => isReady(entry.readinessAddress).catch(() => false));
    await eventually(async () => (await sendStream()).status === 200);
  });

  afterAll(async () => {
    await entry.close();
    await Promise.all([sound.close(), odd.close(), store.close()]);
    await site.close();
    rmSync(folder, {recursive: true});
  });

  const sendStream = () =>
    send(entry.callerAddress, '/stream/a', {
      'x-hibiscusbeam-deadline-ms': '4000',
      'x-hibiscusbeam-model': 'model',
    }).catch(() => ({status: 0, text: 'cut'}));

  /** Sends streams until the signal aborts; returns the events of each. */
  async function sendStreams(signal: AbortSignal): Promise<readonly number[]> {
    const counts: number[] = [];
    while (!signal.aborted) {
      const {text} = await sendStream();
      counts.push(text.split('data: ').length - 1);
    }
    return counts;
  }

  test('lives on, and serves its other requests, when a target sends broken heads', async () => {
    const before = entry.processId();
    const ended = new AbortController();
    const streams = sendStreams(ended.signal);
    for (const {path, status, body, headers} of EXCHANGES) {
      for (const head of HEADS) {
        odd.setAnswer(request => breakHead(head, {status, body}, request));
        const answer = await send(entry.callerAddress, path, headers).catch(
          () => ({status: 0}),
        );
        expect([head.name, answer.status]).toEqual([head.name, 502]);
        expect([head.name, entry.processId()]).toEqual([head.name, before]);
      }
    }
    ended.abort();
    expect(new Set(await streams)).toEqual(new Set([EVENTS]));
    expect(odd.arrivals()).toBeGreaterThanOrEqual(
      HEADS.length * EXCHANGES.length,
    );
  });

  test('lives on, and serves its requests, when its store sends broken heads', async () => {
    const before = entry.processId();
    const content = {status: '200', body: '{}'};
    for (const head of HEADS) {
      const asked = store.arrivals();
      store.setAnswer(request => breakHead(head, content, request));
      await eventually(() => store.arrivals() > asked);
      expect([head.name, entry.processId()]).toEqual([head.name, before]);
    }
    store.forwardTo(site.store.address);
    await eventually(async () => (await sendStream()).status === 200);
    expect(entry.processId()).toBe(before);
  });
});
