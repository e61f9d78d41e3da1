import type {Digest} from './names';

/**
 * Computes `sha256:<hexadecimal>` of a text; injected, since core does no I/O.
 */
export type DigestText = (text: string) => Digest;
