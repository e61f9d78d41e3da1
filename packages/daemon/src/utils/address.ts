import type {SocketAddress} from '../types/settings';

/** `IP:port`, with brackets around an IPv6 number. */
export function formatAddress(address: SocketAddress): string {
  const {host, port} = address;
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
