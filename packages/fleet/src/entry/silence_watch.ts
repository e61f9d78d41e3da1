import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';

/** What a silence watch needs. */
export interface SilenceWatchOptions {
  readonly longestSilence: Milliseconds;
  readonly now: () => MonotonicInstant;
  /** Is told of a silence, and how late the loop of this process noticed it. */
  readonly onSilence: (noticedLateBy: Milliseconds) => void;
  /** Is told when bytes come again after a silence. */
  readonly onGoesOn: () => void;
}

/** Notices when nothing comes from a target for a while. */
export interface SilenceWatch {
  /** Notes bytes of the target. */
  readonly noteBytes: () => void;
  /** Stops counting while nothing is read from the target. */
  readonly pause: () => void;
  readonly resume: () => void;
  readonly stop: () => void;
}

/** Starts a watch; it counts from now. */
export function startSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  const {longestSilence, now, onSilence, onGoesOn} = options;
  let state: 'counting' | 'paused' | 'silent' | 'stopped' = 'counting';
  let silentAt = now() + longestSilence;
  let timer = setTimeout(onTimer, longestSilence);

  function count(): void {
    state = 'counting';
    silentAt = now() + longestSilence;
    clearTimeout(timer);
    timer = setTimeout(onTimer, longestSilence);
  }

  /** Timers run before sockets are read: bytes may wait in the socket. */
  function onTimer(): void {
    const expected = silentAt;
    setImmediate(() => {
      if (state === 'counting' && silentAt === expected) noteSilence();
    });
  }

  function noteSilence(): void {
    state = 'silent';
    onSilence(now() - silentAt);
  }

  function noteBytes(): void {
    switch (state) {
      case 'counting':
        silentAt = now() + longestSilence;
        timer.refresh();
        return;
      case 'silent':
        count();
        return onGoesOn();
      case 'paused':
      case 'stopped':
    }
  }

  function halt(next: 'paused' | 'stopped'): void {
    state = next;
    clearTimeout(timer);
  }

  return {
    noteBytes,
    pause: () => {
      if (state !== 'stopped') halt('paused');
    },
    resume: () => {
      if (state === 'paused') count();
    },
    stop: () => halt('stopped'),
  };
}
