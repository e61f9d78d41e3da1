import {hash32} from '../utils/hash';
import {PREFIX_CHARACTERS} from './constants';

/** Hash of the start of a prompt; equal for requests that can share a cache. */
export function promptPrefix(prompt: string): number {
  return hash32(prompt.slice(0, PREFIX_CHARACTERS));
}

/** Mixes two hashes into a rendezvous score, without allocating. */
export function rendezvousScore(subject: number, candidate: number): number {
  let mixed = Math.imul(subject ^ (subject >>> 16), 0x85ebca6b) ^ candidate;
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x2c1b3c6d);
  mixed = Math.imul(mixed ^ (mixed >>> 12), 0x297a2d39);
  return (mixed ^ (mixed >>> 15)) >>> 0;
}
