import type {Digest} from './names';

/** Computes `sha256:<hexadecimal>` of a text; given in, since core has no I/O. */
export type DigestText = (text: string) => Digest;
