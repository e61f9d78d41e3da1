import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';

/** Options of a silence monitor. */
export interface SilenceMonitorOptions {
  readonly maxSilence: Milliseconds;
  readonly now: () => MonotonicInstant;
  /**
   * Called when the target is silent, with how late the event loop detected it.
   */
  readonly onSilence: (detectionDelay: Milliseconds) => void;
  /** Called when bytes arrive again after a silence. */
  readonly onResumed: () => void;
}

/** Detects that a target has sent nothing for a while. */
export interface SilenceMonitor {
  /** Records that bytes of the target have arrived. */
  readonly recordBytes: () => void;
  /** Stops counting while nothing is read from the target. */
  readonly pause: () => void;
  readonly resume: () => void;
  readonly stop: () => void;
}

/** Starts a monitor; the silence counts from now. */
export function startSilenceMonitor(
  options: SilenceMonitorOptions,
): SilenceMonitor {
  const {maxSilence, now, onSilence, onResumed} = options;
  let state: 'counting' | 'paused' | 'silent' | 'stopped' = 'counting';
  let silentAt = now() + maxSilence;
  let timer = setTimeout(onTimer, maxSilence);

  function count(): void {
    state = 'counting';
    silentAt = now() + maxSilence;
    clearTimeout(timer);
    timer = setTimeout(onTimer, maxSilence);
  }

  /**
   * Timers run before sockets are read, so bytes may still wait in the socket.
   */
  function onTimer(): void {
    const expected = silentAt;
    setImmediate(() => {
      if (state === 'counting' && silentAt === expected) reportSilence();
    });
  }

  function reportSilence(): void {
    state = 'silent';
    onSilence(now() - silentAt);
  }

  function recordBytes(): void {
    switch (state) {
      case 'counting':
        silentAt = now() + maxSilence;
        timer.refresh();
        return;
      case 'silent':
        count();
        return onResumed();
      case 'paused':
      case 'stopped':
    }
  }

  function halt(next: 'paused' | 'stopped'): void {
    state = next;
    clearTimeout(timer);
  }

  return {
    recordBytes,
    pause: () => {
      if (state !== 'stopped') halt('paused');
    },
    resume: () => {
      if (state === 'paused') count();
    },
    stop: () => halt('stopped'),
  };
}
