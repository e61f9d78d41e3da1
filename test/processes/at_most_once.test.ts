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

/** Retries of a setup whose signal came too late on a busy machine. */
const MAX_SETUP_ATTEMPTS = 5;

let site: ServedSite;
let first: string;
let second: string;

beforeAll(async () => {
  // With a short timeout, a resumed entry would consider its claim lost before
  // it reads the pending reply, which these tests need.
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

/** Sends a call whose claim takes effect while its reply is delayed. */
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

/** Freezes the first entry after its claim is written, before the reply. */
async function freezeAfterClaim() {
  for (let attempt = 0; attempt < MAX_SETUP_ATTEMPTS; attempt += 1) {
    const reference = `frozen-${attempt}`;
    const {key, end} = await claimWithSlowReply(reference);
    site.entries[0]?.process.signal('SIGSTOP');
    await restoreTable();
    const claim = await rowValue(site, claimRowKey(key));
    const isHit =
      claim?.kind === 'claimed' && (await runsOf(site, reference)) === 0;
    if (isHit) return {reference, key, end};
    // Too late: the entry already received the reply.
    site.entries[0]?.process.signal('SIGCONT');
    await end;
  }
  throw new Error('the entry could not be frozen in time');
}

/** Takes the table down while a claim is in flight. */
async function takeTableDownDuringClaim() {
  for (let attempt = 0; attempt < MAX_SETUP_ATTEMPTS; attempt += 1) {
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
    // Too late: the claim was written and the call has run.
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
  // An entry claims a charge and is frozen past the timeout of its caller, who
  // retries through the other entry. That one tombstones the attempt at the
  // agent and runs its own. When the frozen entry resumes, it finds its claim
  // granted and dispatches it, which must not run the charge again.
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

    // "Not run" would be false and make the caller charge manually.
    expect(late).toMatchObject({
      outcome: 'answered',
      answeredReference: reference,
    });
    expect(await runsOf(site, reference)).toBe(1);
    expect((await dumpOf(service.spec.siteAddress)).requests.running).toBe(0);
    await waitUntilCallable(site);
  });

  // The table of the platform is down when the charge arrives. Nothing can be
  // claimed, so nothing is forwarded and the caller gets a refusal immediately.
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

  // The table goes down while the claim is in flight. It replies that it is
  // unavailable, and the claim was not written.
  test('is not run when the table goes down under its claim', async () => {
    const {reference, key, ended} = await takeTableDownDuringClaim();
    expect(ended).toMatchObject({outcome: 'notRun', status: 503});
    expect(await runsOf(site, reference)).toBe(0);

    const later = await callOnce(second, {reference, key});
    expect(later.outcome).toBe('answered');
    expect(await runsOf(site, reference)).toBe(1);
  });

  // The claim is written, then the table is down while the charge runs. The
  // answer cannot be recorded but reaches the caller. After the outage a retry
  // must get the same answer, and the charge must not run again.
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

  // The writes of the claim and of the answer take effect but their replies
  // are lost. The entry must read the row back to see that it is its own.
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

  // The service is slow, and a caller without a reply keeps retrying at both
  // entries with the same key.
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

  // The service sends answers after the caller's deadline, or on each other's
  // connections. No caller may get the answer to another call.
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

  // The agent is killed after it forwarded the charge and before the service
  // answered; the charge still takes effect. The restarted agent cannot know,
  // so the charge must not be reported as not run and must not run again.
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
