/**
 * Wraps a callback that handles what another process has sent. An error that a
 * callback of a socket or a parser throws ends this process, which cuts all
 * requests that it serves; `onError` receives it instead.
 */
export function guardCallback<Values extends readonly unknown[]>(
  onError: (error: unknown) => void,
  callback: (...values: Values) => void,
): (...values: Values) => void {
  return (...values) => {
    try {
      callback(...values);
    } catch (error) {
      onError(error);
    }
  };
}
