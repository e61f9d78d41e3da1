import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {waitFor} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import {callOnce, claimRowKey} from './callers';
import {
  dumpOf,
  entryUrl,
  STARTUP_TIMEOUT_MS,
  plainService,
  rowValue,
  runsOf,
  setFaults,
  startServedSite,
  waitUntilCallable,
  type ServedSite,
} from './served_site';

/** On a busy machine a signal may come too late; then once more. */
const TRIES_TO_HIT = 5;

let site: ServedSite;
let first: string;
let second: string;

beforeAll(async () => {
  // With a short time-out, an entry that wakes would first take its own claim
  // for lost; these stories need one that trusts the reply it finds.
  site = await startServedSite({
    entries: 2,
    engines: 0,
    plainServices: 1,
    platformTimeout: '30s',
  });
  first = entryUrl(site, 0);
  second = entryUrl(site, 1);
});

afterAll(() => site?.stop());

async function claimsInFlight(): Promise<number> {
  const address = site.entries[0]?.spec.siteAddress ?? '';
  const dump: unknown = await dumpOf(address);
  return (dump as {claims: {inFlight: number}}).claims.inFlight;
}

async function tableWrites(): Promise<number> {
  const counters = await exchangeJson<{table: {writes: number}}>(
    'GET',
    `${site.platformUrl}/counters`,
  );
  return counters.table.writes;
}

/** Sends a call whose claim takes effect while its reply is on its way. */
async function claimWithSlowReply(reference: string) {
  const key = `key-${reference}`;
  await setFaults(site.platformUrl, {table: {latency: 3_000}});
  const before = await tableWrites();
  const end = callOnce(first, {reference, key, deadline: '40s'});
  await waitFor(
    async () => (await tableWrites()) > before,
    'the claim to take effect',
    STARTUP_TIMEOUT_MS,
  );
  return {key, end};
}

/** Freezes the first entry after its claim is written, before it knows. */
async function freezeAfterClaim() {
  for (let attempt = 0; attempt < TRIES_TO_HIT; attempt += 1) {
    const reference = `frozen-${attempt}`;
    const {key, end} = await claimWithSlowReply(reference);
    site.entries[0]?.process.signal('SIGSTOP');
    await restoreTable();
    const claim = await rowValue(site, claimRowKey(key));
    const isHit =
      claim?.kind === 'claimed' && (await runsOf(site, reference)) === 0;
    if (isHit) return {reference, key, end};
    // The entry was quicker than this test: it has its reply already.
    site.entries[0]?.process.signal('SIGCONT');
    await end;
  }
  throw new Error('the entry could not be frozen in time');
}

/** Takes the table down while a claim is on its way to it. */
async function takeTableDownUnderClaim() {
  for (let attempt = 0; attempt < TRIES_TO_HIT; attempt += 1) {
    const reference = `outage-during-${attempt}`;
    const key = `key-${reference}`;
    await setFaults(site.platformUrl, {table: {latency: 3_000}});
    const end = callOnce(first, {reference, key, deadline: '40s'});
    await waitFor(
      async () => (await claimsInFlight()) > 0,
      'the claim to be on its way',
      STARTUP_TIMEOUT_MS,
    );
    await setFaults(site.platformUrl, {table: {outage: true, latency: 2}});
    const ended = await end;
    await restoreTable();
    // A claim that was quicker than this test was written, and has run.
    const hasRun = (await runsOf(site, reference)) > 0;
    if (!hasRun) return {reference, key, ended};
    expect(ended.outcome).toBe('answered');
  }
  throw new Error('the table could not be taken down in time');
}

async function restoreTable(): Promise<void> {
  await setFaults(site.platformUrl, {table: {latency: 2, outage: false}});
}

describe('a call that may not be repeated', () => {
  // A warranty charge is claimed by one entry, which is then paused for longer
  // than its caller waits. The caller asks again through the other entry. That
  // one has the attempt tombstoned at the agent and runs its own. When the
  // paused entry wakes, it finds its claim granted and sends it on.
  test('runs once when its entry is frozen between claim and dispatch', async () => {
    const service = plainService(site);
    const {reference, key, end} = await freezeAfterClaim();

    const retried = await callOnce(second, {reference, key});
    expect(retried).toMatchObject({
      outcome: 'answered',
      answeredReference: reference,
    });
    site.entries[0]?.process.signal('SIGCONT');
    const late = await end;

    // "Not run" would be a lie by now, and the caller would charge by hand.
    expect(late).toMatchObject({
      outcome: 'answered',
      answeredReference: reference,
    });
    expect(await runsOf(site, reference)).toBe(1);
    expect((await dumpOf(service.spec.siteAddress)).requests.running).toBe(0);
    await waitUntilCallable(site);
  });

  // The platform's table is down when the charge arrives. Nothing can be
  // claimed, so nothing is sent on, and the caller is told so at once.
  test('is not run, and says when to come back, during an outage', async () => {
    const reference = 'outage-before';
    await setFaults(site.platformUrl, {table: {outage: true}});
    const ends = await Promise.all(
      [first, second].map(url =>
        callOnce(url, {reference, key: 'key-outage-before'}),
      ),
    );
    await restoreTable();
    for (const end of ends) {
      expect(end).toMatchObject({
        status: 503,
        outcome: 'notRun',
        reason: 'platformUnavailable',
      });
      expect(Number(end.retryAfter)).toBeGreaterThan(0);
    }
    expect(await runsOf(site, reference)).toBe(0);

    const later = await callOnce(second, {reference, key: 'key-outage-before'});
    expect(later.outcome).toBe('answered');
    expect(await runsOf(site, reference)).toBe(1);
  });

  // The table goes down while the claim is on its way there. It answers that
  // it is unavailable; the claim was not written.
  test('is not run when the table goes down under its claim', async () => {
    const {reference, key, ended} = await takeTableDownUnderClaim();
    expect(ended).toMatchObject({outcome: 'notRun', status: 503});
    expect(await runsOf(site, reference)).toBe(0);

    const later = await callOnce(second, {reference, key});
    expect(later.outcome).toBe('answered');
    expect(await runsOf(site, reference)).toBe(1);
  });

  // The claim is written, then the table goes down and stays down while the
  // charge runs. Its answer can't be recorded, but its caller gets it; after
  // the outage a retry is told the same and nothing runs again.
  test('is answered, and later answered the same, when the table goes down after its claim', async () => {
    const reference = 'outage-after';
    const {key, end} = await claimWithSlowReply(reference);
    await setFaults(site.platformUrl, {table: {outage: true, latency: 2}});
    const ended = await end;
    expect(ended).toMatchObject({
      outcome: 'answered',
      answeredReference: reference,
    });
    await restoreTable();
    const claim = await rowValue(site, claimRowKey(key));
    expect(claim?.kind).toBe('claimed');

    const retried = await callOnce(second, {reference, key});
    expect(retried).toMatchObject({outcome: 'answered', text: ended.text});
    expect(await runsOf(site, reference)).toBe(1);
  });

  // A write of the claim takes effect while its reply is lost; so does the
  // write of the answer. Reading the row back tells whose it is.
  test('runs once when the replies to its writes are lost', async () => {
    const references = Array.from({length: 6}, (_, index) => `lost-${index}`);
    for (const reference of references) {
      await setFaults(site.platformUrl, {table: {loseReplies: 2}});
      const key = `key-${reference}`;
      const ended = await callOnce(first, {reference, key});
      expect(ended.outcome).toBe('answered');
      const retried = await callOnce(second, {reference, key});
      expect(retried).toMatchObject({outcome: 'answered', text: ended.text});
      expect(await runsOf(site, reference)).toBe(1);
    }
    await setFaults(site.platformUrl, {table: {loseReplies: 0}});
  });

  // A caller that hears nothing asks both entries again and again with the
  // same key, while the service is slow.
  test('runs once when many entries are asked at the same time', async () => {
    const service = plainService(site);
    await setFaults(service.url, {callTime: 300});
    const reference = 'stampede';
    const ends = await Promise.all(
      Array.from({length: 24}, (_, index) =>
        callOnce(index % 2 === 0 ? first : second, {
          reference,
          key: 'key-stampede',
        }),
      ),
    );
    await setFaults(service.url, {callTime: 5});
    expect(await runsOf(site, reference)).toBe(1);
    expect(ends.some(end => end.outcome === 'answered')).toBe(true);
    for (const end of ends) {
      if (end.outcome === 'notRun') expect(end.reason).toBe('inProgress');
      else expect(end.outcome).toBe('answered');
    }
    const later = await callOnce(second, {reference, key: 'key-stampede'});
    expect(later.outcome).toBe('answered');
    expect(await runsOf(site, reference)).toBe(1);
  });

  // The service's answers come late, past the caller's deadline, and crossed
  // on each other's connections. A dealer must never see another's receipt.
  test('gives each caller its own answer when answers are late and crossed', async () => {
    const service = plainService(site);
    await setFaults(service.url, {crossNext: 6});
    const references = Array.from({length: 12}, (_, index) => `cross-${index}`);
    const ends = await Promise.all(
      references.map((reference, index) =>
        callOnce(index % 2 === 0 ? first : second, {
          reference,
          key: `key-${reference}`,
        }),
      ),
    );
    for (const [index, end] of ends.entries()) {
      const reference = references[index] ?? '';
      expect(end).toMatchObject({
        outcome: 'answered',
        answeredReference: reference,
      });
      expect(await runsOf(site, reference)).toBe(1);
    }

    await setFaults(service.url, {crossNext: 0, lateNext: 1, lateBy: 2_500});
    const late = {reference: 'late', key: 'key-late'};
    const ended = await callOnce(first, {...late, deadline: '500ms'});
    expect(ended.outcome).toBe('outcomeUnknown');
    await waitFor(
      async () => (await callOnce(second, late)).outcome === 'answered',
      'the late answer to be collected',
      STARTUP_TIMEOUT_MS,
    );
    expect(await callOnce(first, late)).toMatchObject({
      outcome: 'answered',
      answeredReference: 'late',
    });
    expect(await runsOf(site, 'late')).toBe(1);
  });

  // The agent dies after it has passed the charge on and before the service
  // has answered; the charge still takes effect. The agent's next life can't
  // know, so nobody may say "not run" and nobody may run it again.
  test('has an unknown outcome, for ever, when its agent is killed while it runs', async () => {
    const service = plainService(site);
    await setFaults(service.url, {callTime: 2_000});
    const call = {reference: 'killed', key: 'key-killed'};
    const end = callOnce(first, {...call, deadline: '20s'});
    await waitFor(
      async () =>
        (await dumpOf(service.spec.siteAddress)).requests.running === 1,
      'the call to start',
      STARTUP_TIMEOUT_MS,
    );
    service.agent.signal('SIGKILL');
    await service.agent.exited;
    await site.restartAgent(service);
    expect((await end).outcome).toBe('outcomeUnknown');

    await setFaults(service.url, {callTime: 5});
    await waitFor(
      async () => (await runsOf(site, 'killed')) > 0,
      'the charge to take effect',
      STARTUP_TIMEOUT_MS,
    );
    await waitUntilCallable(site);
    for (const url of [second, first, second]) {
      expect((await callOnce(url, call)).outcome).toBe('outcomeUnknown');
    }
    expect(await runsOf(site, 'killed')).toBe(1);
    const next = await callOnce(second, {reference: 'next', key: 'key-next'});
    expect(next.outcome).toBe('answered');
  });
});
