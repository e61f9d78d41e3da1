import type {FleetSettings} from './schema';

/** Maximum numbers of connections that others open to a process. */
export interface ConnectionLimits {
  readonly callers: number;
  /** On each of the directory and readiness ports. */
  readonly auxiliary: number;
  /** On the metrics port, whose answers are large. */
  readonly metrics: number;
  /** Of entries and agents. */
  readonly peers: number;
}

/** Descriptors of a process if their number is not given. */
const DEFAULT_DESCRIPTORS = 4_096;

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;

/**
 * Shares of the other descriptors. Each request of a caller takes a connection
 * to a target; the rest is for peers and the store.
 */
const CALLERS_SHARE = 0.37;
const AUXILIARY_SHARE = 0.03;
const PEERS_SHARE = 0.17;

/** Share of an agent's, which serves nobody else. */
const AGENT_PEERS_SHARE = 0.5;

const MAX_METRICS_CONNECTIONS = 16;

/** Divides the descriptors of a process. */
export function connectionLimits({
  role,
  maxDescriptors,
}: Pick<FleetSettings, 'role' | 'maxDescriptors'>): ConnectionLimits {
  const descriptors = maxDescriptors ?? DEFAULT_DESCRIPTORS;
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  const share = (part: number): number =>
    Math.max(1, Math.floor(sockets * part));
  const auxiliary = share(AUXILIARY_SHARE);
  return {
    callers: share(CALLERS_SHARE),
    auxiliary,
    metrics: Math.min(auxiliary, MAX_METRICS_CONNECTIONS),
    peers: share(role === 'agent' ? AGENT_PEERS_SHARE : PEERS_SHARE),
  };
}
