import type {Milliseconds} from '@hibiscusbeam/core';

/** The end of the time, in which what has come is surely read. */
const READ_GRACE: Milliseconds = 100;

/** The time that an answer may take. */
export interface AnswerTimer {
  readonly stop: () => void;
}

/**
 * Starts the time for an answer. Timers run before sockets are read, so that an
 * answer which came while this process stood still would count as missing.
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
