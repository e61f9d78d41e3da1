/**
 * A decision in several steps that yields typed effects for its driver to
 * perform and receives typed replies. A daemon drives it with real I/O, a test
 * with scripted replies (lost, late, duplicate, reordered, none).
 */
export type Flow<Effect, Reply, Outcome> = Generator<Effect, Outcome, Reply>;

/** Fails to compile when a switch over a discriminated union misses a case. */
export function unreachable(value: never): never {
  throw new Error(`unreachable case: ${JSON.stringify(value)}`);
}
