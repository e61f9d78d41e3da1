import koffi from 'koffi';
import type {Socket} from 'node:net';

/** Constants of Linux. */
const SOL_SOCKET = 1;
const SO_LINGER = 13;

/** Values of `struct linger`: whether it is enabled, and its seconds. */
const RESET_ON_CLOSE = new Int32Array([1, 0]);
const REGULAR_CLOSE = new Int32Array([0, 0]);

type SetSocketOption = (
  descriptor: number,
  level: number,
  name: number,
  value: Int32Array,
  bytes: number,
) => number;

/** Node.js has no interface to this option. */
const setSocketOption: SetSocketOption | undefined =
  process.platform === 'linux'
    ? koffi
        .load(null)
        .func('int setsockopt(int, int, int, const void *, uint32_t)')
    : undefined;

/**
 * Sets whether the operating system resets the connection when it closes, also
 * because the process is killed. What is not yet sent by then is discarded.
 */
export function setResetOnClose(socket: Socket, isReset: boolean): void {
  const descriptor = descriptorOf(socket);
  if (setSocketOption === undefined || descriptor === undefined) return;
  const value = isReset ? RESET_ON_CLOSE : REGULAR_CLOSE;
  setSocketOption(descriptor, SOL_SOCKET, SO_LINGER, value, value.byteLength);
}

/** The file descriptor; undefined once the socket is destroyed. */
function descriptorOf(socket: Socket): number | undefined {
  const {_handle: handle} = socket as Socket & {
    readonly _handle?: {readonly fd?: number} | null;
  };
  const descriptor = handle?.fd ?? -1;
  return descriptor < 0 ? undefined : descriptor;
}
