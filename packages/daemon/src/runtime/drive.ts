import type {Flow} from '@hibiscusbeam/core';

/**
 * Runs a flow to its outcome. `perform` may reply synchronously, which avoids a
 * turn of the event loop, for example when the next token of a stream is
 * already available.
 */
export async function drive<Effect, Reply, Outcome>(
  flow: Flow<Effect, Reply, Outcome>,
  perform: (effect: Effect) => Reply | Promise<Reply>,
): Promise<Outcome> {
  let step = flow.next();
  while (step.done !== true) {
    const reply = perform(step.value);
    step = flow.next(reply instanceof Promise ? await reply : reply);
  }
  return step.value;
}
