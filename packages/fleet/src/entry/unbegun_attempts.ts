import type {
  ModelName,
  MonotonicInstant,
  NamedVersions,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** An attempt at an engine that has sent no event yet. */
export interface UnbegunAttempt {
  readonly model: ModelName;
  /** Whether its engine is in another zone. */
  readonly isFar: boolean;
  /** The version that its engine holds, as far as is known now. */
  readonly heldVersion: () => number;
  /** Ends the attempt. */
  readonly withdraw: () => void;
}

/** Withdraws attempts that would begin on a version after its bound. */
export interface UnbegunAttempts {
  /** Tracks an attempt until the returned function is called. */
  readonly track: (attempt: UnbegunAttempt) => () => void;
  /** Called when a version is named, or earlier than was known. */
  readonly update: () => void;
}

/** Options of {@link createUnbegunAttempts}. */
export interface UnbegunAttemptsOptions {
  readonly versions: () => Pick<NamedVersions, 'withdrawalTime'>;
  /** The clock of the namings. */
  readonly machineClock: Clock;
}

/**
 * Creates the tracker. A request that is sent in time may wait at an overloaded
 * engine behind other prompts, and would begin on the older version after the
 * bound of the newer one.
 */
export function createUnbegunAttempts({
  versions,
  machineClock,
}: UnbegunAttemptsOptions): UnbegunAttempts {
  const attempts = new Set<UnbegunAttempt>();
  let timer: NodeJS.Timeout | undefined;
  let firesAt: MonotonicInstant = Infinity;

  function withdrawalTime({
    model,
    isFar,
    heldVersion,
  }: UnbegunAttempt): MonotonicInstant {
    return versions().withdrawalTime(model, heldVersion(), isFar);
  }

  function schedule(at: MonotonicInstant): void {
    if (at >= firesAt) return;
    firesAt = at;
    clearTimeout(timer);
    const delay = Math.max(0, at - machineClock());
    // Timers run before sockets are read, so an event may wait in its socket.
    timer = setTimeout(() => setImmediate(withdrawDue), delay);
  }

  function withdrawDue(): void {
    const now = machineClock();
    for (const attempt of [...attempts]) {
      if (withdrawalTime(attempt) > now) continue;
      attempts.delete(attempt);
      attempt.withdraw();
    }
    update();
  }

  function update(): void {
    firesAt = Infinity;
    clearTimeout(timer);
    for (const attempt of attempts) schedule(withdrawalTime(attempt));
  }

  return {
    track: attempt => {
      attempts.add(attempt);
      schedule(withdrawalTime(attempt));
      return () => void attempts.delete(attempt);
    },
    update,
  };
}
