import type {FleetAgentClient} from '@hibiscusbeam/wire';
import {EventEmitter} from 'node:events';
import {expect, test, vi} from 'vitest';
import {errorFreeLog} from '../fixtures/error_free_log';
import {createAnnouncementLink} from '../../packages/fleet/src/agent/announcement_link';
import type {Channels} from '../../packages/fleet/src/link/channels';

const ANSWER = {life: 'life of the neighbour', held: [], versionDigest: ''};

const ANNOUNCEMENT = {
  instance: 'agent',
  life: 'life of the agent',
  versionDigest: '',
  gained: [],
  asksHeld: false,
};

/** A link to a neighbour that answers through `answer`. */
function startLink(answer: (call: EventEmitter) => void) {
  let answers = 0;
  let losses = 0;
  const open = (): EventEmitter => {
    const call: EventEmitter = Object.assign(new EventEmitter(), {
      write: () => answer(call),
      cancel: () => undefined,
    });
    return call;
  };
  const channels = {
    at: () => ({announce: open}),
    drop: () => undefined,
  } as unknown as Channels<FleetAgentClient>;
  const link = createAnnouncementLink({
    address: '127.0.0.1:1',
    channels,
    clock: () => performance.now(),
    log: errorFreeLog,
    onAnswer: () => void (answers += 1),
    onLost: () => void (losses += 1),
  });
  return {link, answers: () => answers, losses: () => losses};
}

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

test('a neighbour whose answer came while the event loop was blocked is not lost', async () => {
  const {link, answers, losses} = startLink(call => {
    setImmediate(() => call.emit('data', ANSWER));
  });
  await new Promise<void>(resolve =>
    // Data that arrives meanwhile is read after the expired timers have run.
    setImmediate(() => {
      link.send(ANNOUNCEMENT);
      blockEventLoop(700);
      resolve();
    }),
  );
  await nextTurn();
  await nextTurn();
  expect({answers: answers(), losses: losses()}).toEqual({
    answers: 1,
    losses: 0,
  });
  link.end();
});

test('a neighbour that does not answer is lost after 600 ms', async () => {
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  try {
    const {link, losses} = startLink(() => undefined);
    link.send(ANNOUNCEMENT);
    vi.advanceTimersByTime(599);
    await nextTurn();
    expect(losses()).toBe(0);
    vi.advanceTimersByTime(1);
    await nextTurn();
    expect(losses()).toBe(1);
  } finally {
    vi.useRealTimers();
  }
});
