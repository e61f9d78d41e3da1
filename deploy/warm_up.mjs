/**
 * Runs each role of the built program briefly against an empty platform, which
 * writes the code cache that `scripts/fleet_launcher.cjs` loads.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parse} from 'smol-toml';

const MODEL = 'model';
const SERVICE = 'engines';

/** Time for the roles to connect and exchange reports and updates, in ms. */
const RUN_FOR = 3_000;

/** The code cache is valid only for the flags that it was compiled with. */
function flagsOf(role) {
  const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
  return roles[role].run.split(' ').filter(word => word.startsWith('--'));
}

async function listen(server) {
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${server.address().port}`;
}

async function freeAddress() {
  const server = createServer();
  const address = await listen(server);
  await new Promise(resolve => server.close(resolve));
  return address;
}

function row(key, value) {
  const text = Buffer.from(JSON.stringify(value)).toString('base64');
  return {Key: key, Ver: 1, Value: text};
}

/** Serves as store, engine and target directory. */
function openPlatform(members) {
  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://platform');
    const reply = (body, delay = 0) =>
      setTimeout(() => response.end(JSON.stringify(body)), delay);
    const moment = {Ver: 2, NowMs: performance.now()};
    switch (url.pathname) {
      case '/rows-get':
        return reply({Rows: tables[url.searchParams.get('Table')], ...moment});
      case '/rows-feed':
        return reply({Rows: [], ...moment}, url.searchParams.get('WaitMs'));
      case '/report':
        return reply({Models: [{Name: MODEL, Version: 1}], Running: 1});
      default:
        return reply({held: [], ...moment});
    }
  });
  const tables = {
    op: [
      row('config', {
        Version: 1,
        Routes: [],
        Services: [
          {Name: SERVICE, Engine: {Slots: 4, Models: [{Name: MODEL}]}},
        ],
      }),
    ],
    servers: [],
    members: members.map(member => row(member.instance, member)),
  };
  return server;
}

const BOUNDS = `
  configuration: 2000
  revocation: 5000
  draining: 2000
  version: 8000
  grace: 100
  directoryAnswer: 5000
  repeats: {share: 0.2, slack: 100, window: 10000}
`;

function settingsOf(member, platform) {
  const common = `
role: ${member.role}
instance: ${member.instance}
zone: ${member.zone}
region: region
peerAddress: ${member.address}
store: {address: "${platform}", heartbeat: 1200}
bounds: ${BOUNDS}`;
  return member.role === 'agent'
    ? `${common}
engine: {address: "${platform}", service: ${SERVICE}}`
    : `${common}
callerAddress: ${member.callerAddress}
readinessAddress: 127.0.0.1:0
directoryAddress: 127.0.0.1:0
metricsAddress: 127.0.0.1:0`;
}

function run(member, platform, directory) {
  const settings = join(directory, `${member.instance}.yaml`);
  writeFileSync(settings, settingsOf(member, platform));
  const process_ = spawn(
    process.execPath,
    [
      ...flagsOf(member.role),
      'target/hibiscusbeam.cjs',
      member.role,
      ...(member.isWriter ? ['--write-compiled'] : []),
    ],
    {
      env: {...process.env, HIBISCUSBEAM_CONFIG: settings},
      stdio: ['ignore', 'ignore', 'inherit'],
    },
  );
  const ended = new Promise(resolve => process_.once('exit', resolve));
  setTimeout(() => process_.kill('SIGTERM'), RUN_FOR);
  return ended;
}

async function describe(instance, role, zone, isWriter = false) {
  return {
    isWriter,
    instance,
    role,
    zone,
    address: await freeAddress(),
    callerAddress: role === 'entry' ? await freeAddress() : undefined,
    life: `${instance}-1`,
  };
}

/**
 * Two zones, so that entries follow relays of their own and of another zone.
 * One process of each role writes the code cache.
 */
const members = [
  await describe('entry-1', 'entry', 'north', true),
  await describe('entry-2', 'entry', 'north'),
  await describe('entry-3', 'entry', 'south'),
  await describe('agent-1', 'agent', 'north', true),
];
const server = openPlatform(members);
const platform = await listen(server);
const directory = mkdtempSync(join(tmpdir(), 'hibiscusbeam-'));
const codes = await Promise.all(
  members.map(member => run(member, platform, directory)),
);
rmSync(directory, {recursive: true});
server.close();
server.closeAllConnections();
if (codes.some(code => code !== 0)) {
  console.error('code not compiled ahead: a role has ended with', codes);
}
