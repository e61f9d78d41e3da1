// Runs processes of this build alongside processes of another build, to check
// that they work together and on each other's stored rows and settings.
// usage: node scripts/mixed_builds.mjs OTHER
// OTHER is the root of another checkout with its dependencies installed. Starts
// only entries, agents and the stand-ins of the tests, all on loopback. Prints
// each check; exits with 1 if one failed.
import {execFileSync, spawn, spawnSync} from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createRequire} from 'node:module';
import {createServer} from 'node:net';
import {join, resolve} from 'node:path';
import {bundle} from './bundle.mjs';

const other = process.argv[2];
if (other === undefined) {
  console.error('usage: node scripts/mixed_builds.mjs OTHER');
  process.exit(2);
}
const ROOTS = {this: resolve('.'), other: resolve(other)};
const FOLDER = resolve('dist/mixed_builds');
const WAIT_MS = 30_000;
const REQUESTS_PER_KIND = 6;
const MAX_ATTEMPTS = 20;
const EXPLAIN_INTERVAL = 10;
const STREAMS = 4;
const PROCESS_TESTS = ['test/processes', 'test/soak'];
const SETTLE_MS = 2_000;
const EVENTS = 40;
const EVENT_PAUSE_MS = 15;
const BOUNDS = {
  configuration: 3_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 4_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

rmSync(FOLDER, {recursive: true, force: true});
mkdirSync(FOLDER, {recursive: true});
for (const root of Object.values(ROOTS)) {
  execFileSync(process.execPath, ['scripts/programs.mjs'], {cwd: root});
}
const FIXTURES = ['host_engine', 'host_store', 'host_site', 'host_caller'];
for (const name of FIXTURES) {
  await bundle(`test/fleet/fixtures/${name}.ts`, join(FOLDER, `${name}.cjs`));
}
const load = createRequire(import.meta.url);
const [
  {startHostEngine, startHostOrigin},
  {startHostStore},
  {HOST, KEY},
  {isReady, send},
] = FIXTURES.map(name => load(join(FOLDER, `${name}.cjs`)));

let failures = 0;

function check(title, isGood, detail = '') {
  if (!isGood) failures += 1;
  console.log(`${isGood ? 'ok    ' : 'FAILED'}  ${title}${detail}`);
}

const pause = duration => new Promise(done => setTimeout(done, duration));

/** Waits until `test` returns true; returns false after WAIT_MS. */
async function eventually(test) {
  const until = performance.now() + WAIT_MS;
  while (performance.now() < until) {
    if (await Promise.resolve(test()).catch(() => false)) return true;
    await pause(50);
  }
  return false;
}

function freeAddress() {
  const server = createServer();
  return new Promise(done =>
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address();
      server.close(() => done(`127.0.0.1:${port}`));
    }),
  );
}

const route = (name, kind, service, more = {}) => ({
  Host: HOST,
  Name: name,
  Prefix: `/${name}/`,
  Kind: kind,
  Service: service,
  TimeoutMs: 6_000,
  TargetLatencyMs: 400,
  MaxAttempts: kind === 'unsafe' ? 1 : 2,
  ...more,
});

function configuration(version, origin, routes = []) {
  const engine = {
    Slots: 12,
    Models: [{Name: 'model', WarmS: 0.1}],
    step_ms: 9,
    layers: 2,
    Chunks: 1,
    ChunkBytes: origin.chunkSize,
  };
  return {
    Version: version,
    Routes: [
      route('safe', 'safe', 'plain'),
      route('unsafe', 'unsafe', 'plain'),
      route('stream', 'stream', 'engines', {
        Resumable: true,
        GapTargetMs: 400,
      }),
      ...routes,
    ],
    Services: [
      {Name: 'plain', HealthPath: '/health'},
      {Name: 'engines', HealthPath: '/health', Engine: engine},
      {Name: 'origin', Origin: origin.address, LinkMbps: 100},
    ],
    Tenants: [{Name: 'shop', ApiKeys: [KEY], Priority: 1}],
  };
}

/** Starts the stand-ins of a site with two zones, and writes its rows. */
async function createSite() {
  const store = await startHostStore();
  const origin = await startHostOrigin(1, () => 2);
  store.write('op', 'config', configuration(1, origin));
  const engines = [];
  const plain = [];
  for (const [index, zone] of ['north', 'south'].entries()) {
    const engine = await startHostEngine({
      instance: `engine-${index}`,
      version: 1,
      events: EVENTS,
      pause: EVENT_PAUSE_MS,
    });
    const service = await startHostEngine({instance: `plain-${index}`});
    engines.push(engine);
    plain.push(service);
    const line = {
      Zone: zone,
      Version: 'v1',
      State: 'ready',
      ColdRemainingMs: 0,
      Sequence: 1,
    };
    store.write('servers', engine.instance, {
      ...line,
      Service: 'engines',
      Address: engine.address,
      Slots: 12,
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    });
    store.write('servers', service.instance, {
      ...line,
      Service: 'plain',
      Address: service.address,
      Slots: 4,
    });
  }
  const settings = new Map();
  for (const [index, zone] of ['north', 'north', 'south', 'south'].entries()) {
    settings.set(`entry-${index}`, {
      role: 'entry',
      instance: `entry-${index}`,
      zone,
      callerAddress: await freeAddress(),
      readinessAddress: await freeAddress(),
      directoryAddress: await freeAddress(),
      metricsAddress: await freeAddress(),
      regions: {north: 'north', south: 'south'},
    });
  }
  for (const [index, engine] of engines.entries()) {
    settings.set(`agent-${index}`, {
      role: 'agent',
      instance: `agent-${index}`,
      zone: ['north', 'south'][index],
      engine: {address: engine.address, service: 'engines'},
    });
  }
  for (const [name, own] of settings) {
    settings.set(name, {
      ...own,
      region: own.zone,
      peerAddress: await freeAddress(),
      store: {address: store.address, heartbeat: 1_200},
      bounds: BOUNDS,
    });
  }
  return {
    store,
    origin,
    engines,
    plain,
    settings,
    running: new Map(),
    logs: [],
  };
}

function start(site, name, build) {
  const settings = site.settings.get(name);
  const file = join(FOLDER, `${name}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  const program = join(ROOTS[build], `dist/fleet_${settings.role}.cjs`);
  const child = spawn(process.execPath, [program], {
    env: {...process.env, HIBISCUSBEAM_CONFIG: file},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = [];
  child.stdout.on('data', piece => log.push(piece));
  child.stderr.on('data', piece => log.push(piece));
  const ended = new Promise(done => child.once('exit', code => done(code)));
  site.running.set(name, {child, ended, build});
  site.logs.push({name, build, log});
}

async function stop(site, name, signal) {
  const {child, ended} = site.running.get(name);
  site.running.delete(name);
  child.kill(signal);
  return ended;
}

const entriesOf = site =>
  [...site.running.keys()].filter(name => name.startsWith('entry'));

function startProcesses(site, buildOf) {
  [...site.settings.keys()].forEach((name, index) =>
    start(site, name, buildOf(index)),
  );
}

function waitUntilReady(site) {
  return eventually(async () => {
    const ready = await Promise.all(
      entriesOf(site).map(name =>
        isReady(site.settings.get(name).readinessAddress),
      ),
    );
    return ready.every(Boolean);
  });
}

let requests = 0;

/** Sends a request; retries while the answer is 503, which means "not run". */
async function sendRequest(site, name, path, headers = {}) {
  const {callerAddress} = site.settings.get(name);
  for (let attempt = 1; ; attempt += 1) {
    requests += 1;
    const reply = await send(callerAddress, path, {
      'x-hibiscusbeam-request-id': `mixed-${requests}`,
      'x-hibiscusbeam-deadline-ms': '6000',
      ...headers,
    }).catch(error => ({status: error.code ?? String(error), text: ''}));
    if (reply.status !== 503 || attempt === MAX_ATTEMPTS) return reply;
    await pause(Number(reply.headers['retry-after']) * 1_000);
  }
}

const sendStreamRequest = (site, name) =>
  sendRequest(site, name, '/stream/a', {'x-hibiscusbeam-model': 'model'});

function isWholeStream({status, text}) {
  const ids = [...(text ?? '').matchAll(/^id: (\d+)$/gm)].map(m =>
    Number(m[1]),
  );
  return (
    status === 200 &&
    ids.length === EVENTS &&
    ids.every((id, i) => id === i + 1)
  );
}

async function checkRequests(site, title) {
  for (const name of entriesOf(site)) {
    const {build} = site.running.get(name);
    const results = await Promise.all(
      Array.from({length: REQUESTS_PER_KIND}, async () => {
        const safe = await sendRequest(site, name, '/safe/a');
        const unsafe = await sendRequest(site, name, '/unsafe/a');
        const stream = await sendStreamRequest(site, name);
        return [
          safe.status,
          unsafe.status,
          isWholeStream(stream) ? 200 : `stream ${stream.status}`,
        ];
      }),
    );
    const others = results.flat().filter(status => status !== 200);
    check(
      `${title}: ${name} (${build}) answers requests of each kind whole`,
      others.length === 0,
      others.length === 0 ? '' : `: ${others.join(', ')}`,
    );
  }
}

/** Names, kinds and help texts of the metrics that an entry serves. */
async function metricNames(site, name) {
  const {metricsAddress} = site.settings.get(name);
  const text = await (await fetch(`http://${metricsAddress}/metrics`)).text();
  const names = [...text.matchAll(/^# (HELP|TYPE) (\S+) (.*)$/gm)].map(
    m => m[0],
  );
  return [...new Set(names)].sort();
}

async function checkMetrics(site) {
  const byBuild = new Map();
  for (const name of entriesOf(site)) {
    byBuild.set(site.running.get(name).build, await metricNames(site, name));
  }
  const one = byBuild.get('this');
  const two = byBuild.get('other');
  check(
    'both builds serve the same metrics',
    one.join('\n') === two.join('\n'),
    `: ${one.length} lines of names, kinds and help`,
  );
}

/** Adds a route and names a version; both must reach all processes. */
async function checkChanges(site, title) {
  const added = route('added', 'safe', 'plain');
  site.store.write('op', 'config', configuration(2, site.origin, [added]));
  for (const name of entriesOf(site)) {
    const isServed = await eventually(
      async () => (await sendRequest(site, name, '/added/a')).status === 200,
    );
    check(
      `${title}: ${name} (${site.running.get(name).build}) serves an added route`,
      isServed,
    );
  }
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  for (const [index, engine] of site.engines.entries()) {
    const isLoaded = await eventually(() => engine.held() === 2);
    const {build} = site.running.get(`agent-${index}`);
    check(
      `${title}: agent-${index} (${build}) brings the named version in`,
      isLoaded,
    );
    const Models = [{Name: 'model', Version: 2, Adapters: []}];
    site.store.write('servers', engine.instance, {
      ...site.store.read('servers', engine.instance),
      Models,
      Sequence: 2,
    });
  }
}

/** Stops one entry during streams, and kills an entry and an agent. */
async function checkStops(site, title) {
  const {build} = site.running.get('entry-0');
  const runs = () => site.engines.flatMap(engine => engine.runs).length;
  const before = runs();
  const streams = Array.from({length: STREAMS}, () =>
    sendStreamRequest(site, 'entry-0'),
  );
  await eventually(() => runs() === before + STREAMS);
  const stopped = stop(site, 'entry-0', 'SIGTERM');
  const whole = (await Promise.all(streams)).filter(isWholeStream).length;
  check(
    `${title}: entry-0 (${build}) ends its streams before it stops`,
    whole === STREAMS,
    `: ${whole} of ${STREAMS}`,
  );
  check(`${title}: entry-0 (${build}) ends with 0`, (await stopped) === 0);
  for (const name of ['entry-3', 'agent-1']) await stop(site, name, 'SIGKILL');
  await checkRequests(site, `${title}, after a stop and two kills`);
}

/** Tables of the store, with the fields of their rows. */
function storedFields(site) {
  const rows = [...site.store.copy().rows.values()]
    .filter(({Value}) => Value !== undefined)
    .map(({Table, Value}) => {
      const value = JSON.parse(Buffer.from(Value, 'base64').toString());
      return `${Table} ${Object.keys(value).sort().join()}`;
    });
  return new Set(rows);
}

/** Compares what both builds print about the logs of both. */
function checkExplain(logs) {
  const files = logs.map(({name, build, text}, index) => {
    const file = join(FOLDER, `${index}.${name}.${build}.log`);
    writeFileSync(file, text);
    return file;
  });
  const ids = logs.flatMap(({text}) =>
    [...text.matchAll(/"request":"(mixed-\d+)"/g)].map(match => match[1]),
  );
  const commands = [
    ['failures', ...files],
    ...ids
      .filter((_, index) => index % EXPLAIN_INTERVAL === 0)
      .map(id => ['explain', id, ...files]),
  ];
  const accounts = Object.values(ROOTS).map(root =>
    commands.map(words =>
      execFileSync(
        process.execPath,
        [join(root, 'dist/hibiscusbeam.cjs'), ...words],
        {encoding: 'utf8'},
      ),
    ),
  );
  check(
    'explain and failures of both builds say the same of the logs of both',
    accounts[0].join('') === accounts[1].join(''),
    `: ${commands.length} accounts, ${accounts[0].join('').length} characters`,
  );
  const fieldsOf = build =>
    fieldsOfLines(logs.filter(log => log.build === build));
  const [own, others] = [fieldsOf('this'), fieldsOf('other')];
  const differing = [...own.keys()].filter(
    line => others.has(line) && others.get(line) !== own.get(line),
  );
  const shared = [...own.keys()].filter(line => others.has(line));
  check(
    'lines of the log that both builds write have the same fields',
    differing.length === 0,
    `: ${shared.length} texts${differing.map(line => `; ${line}: ${own.get(line)} / ${others.get(line)}`).join('')}`,
  );
  const alone = [...new Set([...own.keys(), ...others.keys()])].filter(
    line => !own.has(line) || !others.has(line),
  );
  console.log(`        texts that only one build wrote: ${alone.join('; ')}`);
}

/** Names of the fields of each log text; lines omit absent fields. */
function fieldsOfLines(logs) {
  const found = new Map();
  for (const line of logs.flatMap(({text}) => text.split('\n'))) {
    if (!line.startsWith('{')) continue;
    const {message, fields = {}} = JSON.parse(line);
    const names = found.get(message) ?? new Set();
    for (const name of Object.keys(fields)) names.add(name);
    found.set(message, names);
  }
  return new Map(
    [...found].map(([message, names]) => [message, [...names].sort().join()]),
  );
}

async function closeSite(site) {
  await Promise.all(
    [...site.running.keys()].map(name => stop(site, name, 'SIGTERM')),
  );
  await Promise.all(
    [...site.engines, ...site.plain].map(engine => engine.close()),
  );
  await site.origin.close();
  await site.store.close();
  return site.logs.map(({name, build, log}) => ({
    name,
    build,
    text: Buffer.concat(log).toString(),
  }));
}

/** Alternates the builds in each zone, so that relays and followers are of both. */
async function runMixed(first, second) {
  const title = `${first} before ${second}`;
  const site = await createSite();
  startProcesses(site, index => (index % 2 === 0 ? first : second));
  check(`${title}: all entries are ready`, await waitUntilReady(site));
  await pause(SETTLE_MS);
  await checkRequests(site, title);
  if (first === 'this') await checkMetrics(site);
  await checkChanges(site, title);
  await checkRequests(site, `${title}, after the changes`);
  await checkStops(site, title);
  return closeSite(site);
}

/** Kills all processes and starts the other build with their store and settings. */
async function runSuccession(first, second) {
  const title = `${second} after ${first}`;
  const site = await createSite();
  startProcesses(site, () => first);
  check(
    `${title}: all entries of ${first} are ready`,
    await waitUntilReady(site),
  );
  await checkChanges(site, `${title}, before`);
  const isNamingStored = () =>
    [...storedFields(site)].some(row => row.startsWith('version_namings'));
  check(`${title}: the naming is recorded`, await eventually(isNamingStored));
  const before = storedFields(site);
  for (const name of [...site.running.keys()]) {
    await stop(site, name, 'SIGKILL');
  }
  startProcesses(site, () => second);
  check(
    `${title}: all entries of ${second} are ready`,
    await waitUntilReady(site),
  );
  await pause(SETTLE_MS);
  await checkRequests(site, title);
  const after = [...storedFields(site)].sort();
  check(
    `${title}: rows keep their tables and fields`,
    after.every(row => before.has(row)),
    `: ${after.join('; ')}`,
  );
  return closeSite(site);
}

/**
 * Replaces the programs in dist by launchers that alternate the builds between
 * instances and between starts of an instance. Returns the folder that counts
 * the starts.
 */
function writeLaunchers(first) {
  const starts = join(FOLDER, `starts_${first}`);
  mkdirSync(starts, {recursive: true});
  const builds = first === 'this' ? ['this', 'other'] : ['other', 'this'];
  for (const program of ['hibiscusbeam', 'fleet_entry']) {
    for (const [build, root] of Object.entries(ROOTS)) {
      const copy = join(FOLDER, `${program}.${build}.cjs`);
      if (!existsSync(copy)) cpSync(join(root, `dist/${program}.cjs`), copy);
    }
    writeFileSync(
      `dist/${program}.cjs`,
      `const {appendFileSync, readFileSync} = require('node:fs');
const at = process.argv.indexOf('--settings');
const file = at < 0 ? process.env.HIBISCUSBEAM_CONFIG : process.argv[at + 1];
let build = 'this';
try {
  const name = /instance"?:\\s*"?([\\w.-]+)/.exec(readFileSync(file, 'utf8'))[1];
  const starts = ${JSON.stringify(starts)} + '/' + name;
  appendFileSync(starts, '.');
  const count = readFileSync(starts).length + Number(/\\d*$/.exec(name)[0]);
  build = ${JSON.stringify(builds)}[count % 2];
} catch {
  // Commands without a settings file use this build.
}
require(${JSON.stringify(FOLDER)} + '/${program}.' + build + '.cjs');
`,
    );
  }
  return starts;
}

/** Paths of the fields of a state dump; keys that are data are replaced by *. */
function fieldPaths(value, path = '') {
  if (value === null || typeof value !== 'object') return [path];
  if (Array.isArray(value)) {
    return value.flatMap(item => fieldPaths(item, `${path}[]`));
  }
  return Object.entries(value).flatMap(([key, inner]) =>
    fieldPaths(inner, `${path}.${/^[a-zA-Z]+$/.test(key) ? key : '*'}`),
  );
}

/** Compares the state dumps of the builds in a site of entries and agents. */
async function checkDumps() {
  writeLaunchers('this');
  await bundle(
    'test/processes/served_site.ts',
    join(FOLDER, 'served_site.cjs'),
  );
  const {startServedSite, dumpOf} = load(join(FOLDER, 'served_site.cjs'));
  const site = await startServedSite({
    entries: 2,
    engines: 2,
    plainServices: 2,
  });
  try {
    await pause(SETTLE_MS);
    for (const group of [site.entries, site.engines, site.plainServices]) {
      const paths = await Promise.all(
        group.map(async ({spec}) =>
          [...new Set(fieldPaths(await dumpOf(spec.siteAddress)))]
            .sort()
            .join('\n'),
        ),
      );
      check(
        `state dumps of ${group.map(({name}) => name).join(' and ')} have the same fields`,
        paths[0] === paths[1],
        `: ${paths[0].split('\n').length} fields`,
      );
      if (paths[0] !== paths[1]) console.log(paths.join('\n--\n'));
    }
  } finally {
    await site.stop();
  }
}

/**
 * Runs the tests on real processes with both builds, so that each build reads
 * what the other one has stored.
 */
function runProcessTests(first) {
  const starts = writeLaunchers(first);
  const words = ['run', '--project', 'processes', ...PROCESS_TESTS];
  const result = spawnSync('node_modules/.bin/vitest', words, {
    encoding: 'utf8',
  });
  const last = /Tests .*/.exec(result.stdout)?.[0] ?? 'no report';
  const names = readdirSync(starts);
  const count = names.reduce(
    (sum, name) => sum + readFileSync(join(starts, name)).length,
    0,
  );
  check(
    `tests on processes of both builds, ${first} first`,
    result.status === 0,
    `: ${last}, ${count} starts`,
  );
  if (result.status !== 0) console.log(result.stdout.slice(-6_000));
}

const logs = [
  ...(await runMixed('this', 'other')),
  ...(await runMixed('other', 'this')),
];
checkExplain(logs);
await runSuccession('other', 'this');
await runSuccession('this', 'other');
await checkDumps();
runProcessTests('this');
runProcessTests('other');
execFileSync(process.execPath, ['scripts/programs.mjs']);
console.log(failures === 0 ? 'all checks passed' : `${failures} checks failed`);
process.exit(failures === 0 ? 0 : 1);
