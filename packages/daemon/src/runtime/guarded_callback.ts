/**
 * Wraps a callback that handles what another process has sent: `onError` gets
 * the error that would otherwise end this process with all its requests.
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
