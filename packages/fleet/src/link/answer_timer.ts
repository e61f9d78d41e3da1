import type {Milliseconds} from '@hibiscusbeam/core';

/** Last part of the timeout, in which data that has already arrived is read. */
const READ_GRACE: Milliseconds = 100;

/** Timeout of an answer. */
export interface AnswerTimer {
  readonly stop: () => void;
}

/**
 * Starts the timeout of an answer. Timers run before sockets are read, so that
 * with a plain timer, an answer which arrived while the event loop was blocked
 * would count as missing.
 */
export function startAnswerTimer(
  time: Milliseconds,
  onExpired: () => void,
): AnswerTimer {
  const readGrace = Math.min(READ_GRACE, time / 2);
  let isStopped = false;
  let timer = setTimeout(() => {
    timer = setTimeout(expireOnceRead, readGrace);
  }, time - readGrace);

  function expireOnceRead(): void {
    setImmediate(() => {
      if (!isStopped) onExpired();
    });
  }

  return {
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
