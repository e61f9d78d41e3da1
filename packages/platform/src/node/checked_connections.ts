import {answerHeadError, readAnswerHead} from '@hibiscusbeam/core';
import {Agent, Client, Pool, type Dispatcher} from 'undici';

/**
 * Creates connections to any servers. A call fails if the head of its answer
 * can't be used; see `readAnswerHead`.
 */
export function createCheckedAgent(options?: Agent.Options): Dispatcher {
  return checkAnswers(new Agent(options));
}

/** Creates connections to one server, with the same check. */
export function createCheckedPool(
  url: string,
  options?: Pool.Options,
): Dispatcher {
  return checkAnswers(new Pool(url, options));
}

/** Creates a single connection to a server, with the same check. */
export function createCheckedClient(
  url: string,
  options?: Client.Options,
): Dispatcher {
  return checkAnswers(new Client(url, options));
}

function checkAnswers(dispatcher: Dispatcher): Dispatcher {
  return dispatcher.compose(
    dispatch => (options, handler) =>
      dispatch(options, createCheckingHandler(handler)),
  );
}

function createCheckingHandler(
  handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (...values) => handler.onRequestStart?.(...values),
    onResponseStart: (controller, status, headers, message) => {
      if (isInformational(status)) return;
      const bodyEnd = readAnswerHead({status, lines: linesOf(headers)});
      if (bodyEnd.err) controller.abort(answerHeadError(bodyEnd.val));
      else handler.onResponseStart?.(controller, status, headers, message);
    },
    onResponseData: (...values) => handler.onResponseData?.(...values),
    onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
    onResponseError: (...values) => handler.onResponseError?.(...values),
  };
}

/** Whether the answer itself is still to come. */
function isInformational(status: number): boolean {
  return status >= 100 && status < 200;
}

function linesOf(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): readonly string[] {
  return Object.entries(headers).flatMap(([name, value = []]) =>
    [value].flat().flatMap(line => [name, line]),
  );
}
