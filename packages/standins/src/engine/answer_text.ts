import {hash32} from '@hibiscusbeam/core';
import type {VersionDigest} from '@hibiscusbeam/core';

const RADIX = 36;

/** Inputs that determine an answer's text. */
export interface AnswerSource {
  readonly versionDigest: VersionDigest;
  readonly prompt: string;
}

/**
 * Returns the text of each token, by sequence from 0; equal on every engine.
 */
export function tokenTexts(source: AnswerSource): (sequence: number) => string {
  const seed = hash32(`${source.versionDigest}\0${source.prompt}`);
  return sequence => ` ${hash32(String(sequence), seed).toString(RADIX)}`;
}

/** The whole text of an answer of `count` tokens. */
export function answerText(source: AnswerSource, count: number): string {
  const text = tokenTexts(source);
  return Array.from({length: count}, (_, sequence) => text(sequence)).join('');
}
