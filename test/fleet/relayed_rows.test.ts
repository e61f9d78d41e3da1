import {
  createQuarantine,
  createRateLimits,
  type ListedTarget,
} from '@hibiscusbeam/core';
import {
  FleetEntryService,
  type EngineReport,
  type RelayNews,
} from '@hibiscusbeam/wire';
import fc from 'fast-check';
import {createHash} from 'node:crypto';
import {expect, test} from 'vitest';
import {createSentRows} from '../../packages/fleet/src/link/numbered_rows';
import {createSiteRecords} from '../../packages/fleet/src/link/site_records';
import {
  createReportNumbers,
  createReportReader,
  writeReports,
} from '../../packages/fleet/src/link/report_batches';
import {
  createStateNumbers,
  createStateReader,
  writeStates,
} from '../../packages/fleet/src/link/state_batches';
import {
  createTargetNumbers,
  createTargetReader,
  writeTargetChanges,
} from '../../packages/fleet/src/link/target_changes';
import {propertySettings} from '../fixtures/property_settings';
import {plainTarget} from '../fixtures/placement';

const reportOf = (engine: number, changes: Partial<EngineReport> = {}) => ({
  engineAddress: `10.1.0.${engine}:8406`,
  loaded: [{model: 'model510000', version: 1}],
  ordering: false,
  running: 3,
  waiting: 0,
  pace: 1,
  sequence: 1,
  namings: [],
  born: 1_790_000_000_000,
  loadsInMilliseconds: undefined,
  ...changes,
});

/** Bytes per second that a node may spend on control messages. */
const CONTROL_BYTES_A_SECOND = 26_000;

/** Size of an encoded message, in bytes. */
function bytesOf(news: Partial<RelayNews>): number {
  const whole: RelayNews = {
    entries: undefined,
    reports: undefined,
    namings: [],
    operator: undefined,
    targets: undefined,
    configuration: undefined,
    crashRecords: [],
    demands: [],
    rateLimits: [],
    ...news,
  };
  return FleetEntryService.follow.responseSerialize(whole).length;
}

const changesOfReport = fc.record({
  engine: fc.integer({min: 1, max: 3}),
  running: fc.integer({min: 0, max: 16}),
  waiting: fc.integer({min: 0, max: 1}),
  ordering: fc.boolean(),
  pace: fc.constantFrom(1, 1.04, 2),
  loadsIn: fc.constantFrom(undefined, 0, 900),
  version: fc.integer({min: 1, max: 2}),
  /** Whether the receiver's window is full, so that nothing is sent. */
  isHeldUp: fc.boolean(),
});

test('relayed reports equal those sent by agents', () => {
  fc.assert(
    fc.property(fc.array(changesOfReport, {maxLength: 40}), beats => {
      const numberReport = createReportNumbers();
      const sentRows = createSentRows();
      const read = createReportReader();
      beats.forEach((beat, index) => {
        const now = index * 100;
        const {engine, running, waiting, ordering, pace, loadsIn} = beat;
        const sent = reportOf(engine, {
          running,
          waiting,
          ordering,
          pace,
          sequence: index,
          loaded: [{model: 'model', version: beat.version}],
          loadsInMilliseconds: loadsIn,
        });
        const relayed = numberReport(sent, now);
        if (beat.isHeldUp) return;
        const [got] = read(writeReports([relayed], sentRows, now), now);
        expect(Math.abs((got?.pace ?? 0) - pace)).toBeLessThan(0.06);
        const {loadsInMilliseconds: gotLoad} = got ?? {};
        expect(gotLoad === undefined).toBe(loadsIn === undefined);
        if (loadsIn !== undefined) {
          expect(Math.abs((gotLoad ?? 0) - loadsIn)).toBeLessThanOrEqual(60);
        }
        expect({...got, pace, loadsInMilliseconds: loadsIn}).toEqual(sent);
      });
    }),
    propertySettings(100),
  );
});

const targetOf = (instance: number, leaving: boolean): ListedTarget =>
  plainTarget(`i-${instance}`, {
    address: `10.1.0.${instance}:80`,
    leaving,
    coldFor: leaving ? 1_500 : 0,
    held: leaving ? undefined : [{model: 'model', version: 1}],
  });

test('a list relayed as changes equals the original', () => {
  const list = fc.uniqueArray(
    fc.record({instance: fc.nat({max: 5}), leaving: fc.boolean()}),
    {selector: ({instance}) => instance},
  );
  fc.assert(
    fc.property(fc.array(list, {maxLength: 20}), lists => {
      const number = createTargetNumbers();
      const sentRows = createSentRows();
      const read = createTargetReader();
      for (const lines of lists) {
        const targets = lines.map(({instance, leaving}) =>
          targetOf(instance, leaving),
        );
        const got = read(writeTargetChanges(number(targets), sentRows));
        expect(new Set(got)).toEqual(new Set(targets));
      }
    }),
    propertySettings(100),
  );
});

test('relayed states equal those of the entries', () => {
  const states = fc.array(
    fc.record({entry: fc.nat({max: 3}), ready: fc.boolean(), age: fc.nat()}),
  );
  fc.assert(
    fc.property(states, items => {
      const number = createStateNumbers();
      const sentRows = createSentRows();
      const read = createStateReader();
      for (const {entry, ready, age} of items) {
        const state = {instance: `entry-${entry}`, ready, ageMilliseconds: age};
        expect(read(writeStates([number(state)], sentRows))).toEqual([state]);
      }
    }),
    propertySettings(100),
  );
});

// With 300 machines in three zones, each relay sent to 54 followers the reports
// of 45 engines ten times a second, and those of 90 others three times a
// second. These 1.8 MB a second saturated its link, and a configuration was in
// force 9 s after it was written.
test('the messages of a relay of 300 machines fit into its link', () => {
  const numberReport = createReportNumbers();
  const sentRows = createSentRows();
  const numberState = createStateNumbers();
  const sentStates = createSentRows();
  let bytes = 0;
  for (let beat = 0; beat < 20; beat += 1) {
    const engines = beat % 3 === 0 ? 135 : 45;
    const reports = Array.from({length: engines}, (_, engine) =>
      numberReport(
        reportOf(engine, {
          running: (engine + beat) % 12,
          sequence: 1_000 + beat,
          // Half of them are about to load.
          loadsInMilliseconds: engine % 2 ? 9_000 - beat * 100 : undefined,
        }),
        beat * 100,
      ),
    );
    const states = Array.from({length: 165}, (_, entry) =>
      numberState({
        instance: `front-some-hall-${entry}`,
        ready: true,
        ageMilliseconds: (entry * 7) % 2_000,
      }),
    );
    const size = bytesOf({
      reports: writeReports(reports, sentRows, beat * 100),
      entries: beat % 10 === 0 ? writeStates(states, sentStates) : undefined,
    });
    // In the first second, each row is sent whole once.
    if (beat >= 10) bytes += size;
  }
  // A tenth of the narrowest link's 28 Mbit/s, for 54 followers.
  expect(bytes).toBeLessThan((28_000_000 / 8 / 54) * 0.1);
});

test('crash records and limits of one message fit into a second of control traffic', () => {
  const quarantine = createQuarantine();
  const limits = createRateLimits(() => 0);
  for (let index = 0; index < 1_000; index += 1) {
    const life = `i-${String(index).padStart(10, '0')}/1790000000000`;
    const fingerprint = createHash('md5').update(life).digest('hex');
    quarantine.recordEnding([fingerprint], {
      life,
      sentAt: -1_200,
      endedAt: -1_000,
    });
    limits.recordAnswer({life, rate: 2.5, sentAt: 0});
  }
  const write = createSiteRecords(quarantine, limits).createWriter();
  const message = write(0);
  expect(message.crashRecords).toHaveLength(100);
  expect(message.rateLimits).toHaveLength(100);
  expect(bytesOf(message)).toBeLessThan(CONTROL_BYTES_A_SECOND);
});
