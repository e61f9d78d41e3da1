import {parseArgs} from 'node:util';
import {callModel, callService} from './requests';
import {
  confirmByCommand,
  DEMO_MODEL,
  DEMO_OPERATION,
  DEMO_SERVICE,
  initialIntent,
  planWhenTargetsKnown,
  publishVersion,
  waitUntilServed,
} from './rollout';
import {exchangeJson} from './site/http';
import {DEMO_KEYS} from './site/settings_files';
import {startSmallSite, type SmallSite} from './site/small_site';

/** Request outcomes of the demo run; printed as JSON with `--json`. */
interface Tally {
  ok: boolean;
  answered: number;
  notRun: number;
  outcomeUnknown: number;
  versionDigest: string;
}

const {values: options} = parseArgs({
  options: {
    once: {type: 'boolean', default: false},
    json: {type: 'boolean', default: false},
    binary: {type: 'boolean', default: false},
  },
});

function log(line: string): void {
  if (!options.json) console.log(line);
}

function check(tally: Tally, holds: boolean, description: string): void {
  if (holds) return log(`  ok: ${description}`);
  tally.ok = false;
  console.error(`  FAILED: ${description}`);
}

async function rollOutFirstVersion(
  site: SmallSite,
  tally: Tally,
): Promise<void> {
  const version = await publishVersion(site, '2026-12-02.1', 1);
  tally.versionDigest = version;
  log(`The origin holds ${DEMO_MODEL} 2026-12-02.1 (${version}).`);
  const intent = initialIntent(site, '2026-12-02.1');
  const {plan} = await planWhenTargetsKnown(site, intent, options.binary);
  log(
    `Planned ${plan.planId}: ${plan.changes.length} changes, ${plan.originBytes} bytes from the origin. Nothing is applied yet.`,
  );
  const confirmed = await confirmByCommand(site, plan.planId, options.binary);
  log(`Confirmed: generation ${confirmed.generation}.`);
  await waitUntilServed(site, version, DEMO_KEYS.operator);
  log('Every engine holds the version, verified, and serves it.');
}

async function sendRequests(site: SmallSite, tally: Tally): Promise<void> {
  const [entry] = site.entries;
  const [service] = site.plainServices;
  if (entry === undefined || service === undefined) return;
  const reply = await exchangeJson<{entries: {address: string}[]}>(
    'GET',
    `${entry.url}/v1/entries`,
    undefined,
    {authorization: `Bearer ${DEMO_KEYS.workspaces['shop-counter']}`},
  );
  const addresses = reply.entries.map(found => found.address);
  log(`Entries listed for callers: ${addresses.join(', ')}.`);
  check(
    tally,
    addresses.length === site.entries.length,
    'all entries are listed',
  );

  const path = {service: DEMO_SERVICE, operation: DEMO_OPERATION};
  for (const [index, address] of [...addresses, ...addresses].entries()) {
    const prompt = `fault log ${index}: blade motor over current`;
    const url = `http://${address}`;
    const answer = await callModel(url, 'shop-counter', DEMO_MODEL, prompt);
    if (answer.outcome === 'answered') tally.answered += 1;
    check(
      tally,
      answer.outcome === 'answered' &&
        answer.versionDigest === tally.versionDigest,
      `a complete answer of ${answer.tokens} tokens from one version`,
    );
  }

  const charge = {reference: 'warranty-4711', amount: 120};
  for (const address of addresses) {
    const url = `http://${address}`;
    const called = await callService(url, 'call-centre', path, charge, 'w-1');
    if (called.outcome === 'answered') tally.answered += 1;
    check(tally, called.outcome === 'answered', `charged by ${address}`);
  }

  const unknown = await callModel(
    entry.url,
    'shop-counter',
    'no-such-model',
    'hello',
  );
  if (unknown.outcome === 'notRun') tally.notRun += 1;
  check(tally, unknown.outcome === 'notRun', 'no such model: not run');

  await exchangeJson('POST', `${service.url}/faults`, {dropNext: 1});
  const lost = {reference: 'warranty-4712', amount: 80};
  const cut = await callService(entry.url, 'call-centre', path, lost, 'w-2');
  if (cut.outcome === 'outcomeUnknown') tally.outcomeUnknown += 1;
  check(
    tally,
    cut.outcome === 'outcomeUnknown',
    'connection cut after the charge took effect: outcome unknown, not "not run"',
  );
  const again = await callService(entry.url, 'call-centre', path, lost, 'w-2');
  check(
    tally,
    again.outcome === 'outcomeUnknown',
    'retry with the same key: still unknown',
  );

  const {runs} = await exchangeJson<{runs: Record<string, number>}>(
    'GET',
    `${service.url}/runs`,
  );
  check(tally, runs['warranty-4711'] === 1, 'the first charge ran once');
  check(tally, runs['warranty-4712'] === 1, 'the second charge ran once');
}

async function main(): Promise<number> {
  const tally: Tally = {
    ok: true,
    answered: 0,
    notRun: 0,
    outcomeUnknown: 0,
    versionDigest: '',
  };
  log('Starting a small site: platform, 3 engines, 1 service, 2 entries.');
  const site = await startSmallSite({
    entries: 2,
    engines: 3,
    plainServices: 1,
    binary: options.binary,
  });
  const interrupted = new Promise<void>(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
  try {
    await rollOutFirstVersion(site, tally);
    await sendRequests(site, tally);
    if (options.json) console.log(JSON.stringify(tally));
    if (!options.once) {
      for (const entry of site.entries) log(`${entry.name}: ${entry.url}`);
      log(`platform stand-in: ${site.platformUrl}`);
      log(`operator's key file: ${site.settings.operatorKeyFile}`);
      log(`a workspace's key: ${DEMO_KEYS.workspaces['shop-counter']}`);
      log('The site stays up until interrupted (Ctrl-C).');
      await interrupted;
    }
  } finally {
    await site.stop();
  }
  log(tally.ok ? 'All checks passed.' : 'Some checks failed.');
  return tally.ok ? 0 : 1;
}

main().then(
  code => process.exit(code),
  error => {
    console.error(error);
    process.exit(1);
  },
);
