import {setTimeout as sleep} from 'node:timers/promises';
import {startHostStore} from '../../test/fleet/fixtures/host_store';
import {sendAlone} from '../stand_ins/caller';
import {startEngine} from '../stand_ins/engine';
import {
  startAgent,
  startEntry,
  temporaryFolder,
  untilReady,
} from '../stand_ins/processes';
import {createRecord} from '../stand_ins/record';
import {
  configurationOf,
  registrationOf,
  streamRequest,
} from '../stand_ins/site';
import {createEngineWeights, startOrigin} from '../stand_ins/weights';

/** The freeze of the side machine, and when the piece turns bad in it. */
const FREEZE_MS = 3_500;
const SPOILT_AFTER_MS = 100;
const SPOILT_PIECE = 10;

/** The staged piece whose read the freeze interrupts. */
const FREEZE_AT_PIECE = 24;

const SIDE_MACHINES = 6;
const FROZEN_MACHINE = 'engine-1';
const REQUESTS = 36;

const NEW_VERSION = 2;
const LOAD_TIMEOUT_MS = 40_000;
const HEARTBEAT_MS = 1_200;
const DEADLINE_MS = 6_032;

const EXIT_HELD = 0;
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;

async function run(): Promise<number> {
  const isDisrupted = process.env.TROUBLE !== '0';
  const record = createRecord();
  const folder = temporaryFolder();
  const store = await startHostStore();
  const origin = await startOrigin();
  let frozen: string | undefined;
  let wasFrozen = false;
  let runs = 0;
  let runsOnBadLayers = 0;

  async function startSideMachine(name: string) {
    const weights = createEngineWeights({
      add: line => record.add(`${name}: ${line}`),
      onRead: (position, newest) => {
        if (name !== FROZEN_MACHINE || !isDisrupted || wasFrozen) return;
        if (newest === NEW_VERSION && position === FREEZE_AT_PIECE) {
          void freeze();
        }
      },
    });
    const engine = await startEngine({
      instance: name,
      plan: () => ({
        events: 3,
        pause: 20,
        isFramed: true,
        resetAfter: undefined,
      }),
      onRun: (requestId, event) => {
        const bad = weights.badLayers().join(', ');
        record.add(
          `run ${requestId} ${event} on version ${weights.version()}` +
            (bad === '' ? '' : ` BROKEN: ${bad} taken from a spoilt piece`),
        );
        if (!event.startsWith('begins')) return;
        runs += 1;
        if (bad !== '') runsOnBadLayers += 1;
      },
      // The engine stands on the machine that is frozen.
      intercept: async (path, body, response) => {
        while (frozen === name) await sleep(10);
        return weights.handle(path, body, response);
      },
    });
    const agent = await startAgent(
      `agent-of-${name}`,
      store.address,
      engine.address,
      folder,
    );

    async function freeze(): Promise<void> {
      wasFrozen = true;
      frozen = name;
      agent.kill('SIGSTOP');
      record.add(`${name} is frozen while its agent verifies staged pieces`);
      await sleep(SPOILT_AFTER_MS);
      weights.spoil(SPOILT_PIECE);
      await sleep(FREEZE_MS - SPOILT_AFTER_MS);
      frozen = undefined;
      agent.kill('SIGCONT');
      record.add(`${name} wakes after ${FREEZE_MS} ms`);
    }

    return {name, weights, engine, agent};
  }

  const machines = await Promise.all(
    Array.from({length: SIDE_MACHINES}, (_, at) =>
      startSideMachine(`engine-${at + 1}`),
    ),
  );
  const service = {Name: 'origin', Origin: origin.address, LinkMbps: 15};
  store.write('op', 'config', configurationOf({Resumable: true}, [service]));
  const register = (): void => {
    for (const {name, engine, weights} of machines) {
      if (frozen === name) continue;
      const row = registrationOf(engine, weights.version());
      store.write('servers', name, row);
    }
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  const entry = await startEntry('entry-1', store.address, folder);

  async function sendAll(address: string): Promise<void> {
    for (let number = 1; number <= REQUESTS; number += 1) {
      const requestId = `c${number}`;
      record.add(`sent ${requestId}`);
      const text = streamRequest(requestId, DEADLINE_MS);
      const answer = await sendAlone(address, text);
      record.add(`answer ${requestId} status ${answer.status} ${answer.end}`);
    }
  }

  async function end(code: number): Promise<number> {
    clearInterval(heartbeat);
    entry.close();
    for (const {agent, engine} of machines) {
      agent.kill('SIGKILL');
      engine.close();
    }
    origin.close();
    await store.close();
    const summary = `${runs} runs, ${runsOnBadLayers} on a layer from a spoilt piece`;
    record.add(summary);
    record.write('review/3/record.txt');
    console.log(summary);
    return code;
  }

  if (!(await untilReady([entry]))) return end(EXIT_NOT_RUN);
  await sleep(3_000);
  record.add(`operator names version ${NEW_VERSION}`);
  store.write('op', 'version/model', {Model: 'model', Version: NEW_VERSION});
  const timeout = performance.now() + LOAD_TIMEOUT_MS;
  while (machines.some(({weights}) => weights.version() !== NEW_VERSION)) {
    if (performance.now() > timeout) return end(EXIT_NOT_RUN);
    await sleep(50);
  }
  await sleep(2 * HEARTBEAT_MS);
  await sendAll(entry.callerAddress);
  if (runsOnBadLayers > 0) return end(EXIT_BROKEN);
  const hasRun = runs > 0 && wasFrozen === isDisrupted;
  return end(hasRun ? EXIT_HELD : EXIT_NOT_RUN);
}

run().then(
  code => process.exit(code),
  error => {
    console.error(error);
    process.exit(EXIT_NOT_RUN);
  },
);
