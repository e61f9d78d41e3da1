import {unreachable} from '../../kernel/flow';
import type {Digest} from '../../types';
import {
  decodeFrames,
  encodeFrames,
  fromBase64,
  toBase64,
} from '../queries/answer_encoding';
import type {ClaimRow, RecordedBody} from '../queries/claim_row';
import type {CreateDigester, RequestFlow, CompleteAnswer} from '../types';
import type {AtMostOnceOptions} from './at_most_once_options';
import {perform} from './steps';

function digestOf(
  createDigester: CreateDigester,
  parts: readonly Uint8Array[],
): Digest {
  const digester = createDigester();
  for (const part of parts) digester.update(part);
  return digester.finish();
}

/**
 * Stores the answer's bytes, inline or as an object that its row references.
 */
export function* storeAnswer(
  options: AtMostOnceOptions,
  answer: CompleteAnswer,
): RequestFlow<RecordedBody | undefined> {
  const content = encodeFrames(answer.frames);
  if (content.length <= options.limits.inlineAnswerBytes) {
    return {kind: 'inline', base64: toBase64(content)};
  }
  const digest = digestOf(options.createDigester, [content]);
  const key = `answers/${digest}`;
  const reply = yield* perform({kind: 'putObject', key, content}, 'stored');
  // The row must not reference bytes that may not exist.
  return reply.result.ok ? {kind: 'object', key, digest} : undefined;
}

function* loadBody(
  options: AtMostOnceOptions,
  body: RecordedBody,
): RequestFlow<Uint8Array | undefined> {
  switch (body.kind) {
    case 'inline':
      return fromBase64(body.base64);
    case 'object': {
      const reply = yield* perform(
        {kind: 'getObject', key: body.key},
        'object',
      );
      return reply.result.ok ? reply.result.val : undefined;
    }
    default:
      return unreachable(body);
  }
}

/**
 * Loads the recorded answer; `undefined` if its bytes are not available now.
 */
export function* loadAnswer(
  options: AtMostOnceOptions,
  row: Extract<ClaimRow, {kind: 'answered'}>,
): RequestFlow<CompleteAnswer | undefined> {
  const content = yield* loadBody(options, row.body);
  if (content === undefined) return undefined;
  const frames = decodeFrames(content);
  if (frames === undefined) return undefined;
  const digest = digestOf(options.createDigester, frames);
  // Bytes that were corrupted in the store must not be returned as the answer.
  if (digest !== row.digest) return undefined;
  const {attempt, versionDigest} = row;
  return {attempt, versionDigest, frames, digest};
}
