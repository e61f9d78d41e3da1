import {
  createAnswerAssembler,
  type AttemptFrame,
  type FrameResult,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {bytesOf, createSha256Digester, digestOf} from './sha256_digester';

const CONTENTS = ['zero', 'one', ''].map(bytesOf);
const OTHERS = ['their', 'own', 'words'].map(bytesOf);

function framesOf(
  attempt: string,
  version: string,
  contents = CONTENTS,
): readonly AttemptFrame[] {
  const data = contents.map(
    (content, sequence) =>
      ({kind: 'data', attempt, sequence, content}) as const,
  );
  const digest = digestOf(contents);
  return [
    {kind: 'started', attempt, versionDigest: version, incarnation: 1},
    ...data,
    {kind: 'end', attempt, frameCount: data.length, digest},
  ];
}

function assemble(frames: readonly AttemptFrame[]): readonly FrameResult[] {
  const assembler = createAnswerAssembler('mine#1', {
    incarnation: 1,
    createDigester: createSha256Digester,
    answerBytes: 1000,
  });
  return frames.map(assembler.accept);
}

function completed(results: readonly FrameResult[]) {
  return results.flatMap(result =>
    result.kind === 'complete' ? [result.answer] : [],
  );
}

const mine = framesOf('mine#1', 'version-a');
const stray: readonly AttemptFrame[] = [
  ...framesOf('theirs#1', 'version-a', OTHERS),
  ...framesOf('mine#1', 'version-b'),
  {kind: 'data', attempt: 'theirs#1', sequence: 0, content: bytesOf('theirs')},
  {kind: 'data', attempt: 'mine#1', sequence: 1, content: bytesOf('changed')},
  {
    kind: 'started',
    attempt: 'mine#1',
    versionDigest: 'version-a',
    incarnation: 2,
  },
];
const anyFrame = fc.constantFrom(...mine, ...mine, ...mine, ...stray);

// Frames arrive late, duplicated and interleaved on one connection, and streams
// break off. Whatever is forwarded as an answer must be complete and contain
// nothing else.
describe('an answer assembler', () => {
  test('completes only the complete answer to its own attempt', () => {
    fc.assert(
      fc.property(fc.array(anyFrame, {maxLength: 16}), frames => {
        for (const answer of completed(assemble(frames))) {
          expect(answer.frames).toEqual(CONTENTS);
          expect(answer.attempt).toBe('mine#1');
        }
        expect(completed(assemble(frames)).length).toBeLessThanOrEqual(1);
      }),
      propertySettings(5000),
    );
  });

  test('completes an answer despite foreign and duplicate frames', () => {
    const foreign = framesOf('theirs#1', 'version-b');
    fc.assert(
      fc.property(fc.array(fc.nat(4), {minLength: 5, maxLength: 5}), extras => {
        const frames = mine.flatMap((frame, at) => [
          ...foreign.slice(0, extras[at]),
          frame,
          ...(at < 4 ? mine.slice(0, Math.min(extras[at]!, at + 1)) : []),
        ]);
        expect(completed(assemble(frames))).toHaveLength(1);
      }),
      propertySettings(300),
    );
  });

  test.each<[string, readonly AttemptFrame[]]>([
    ['only the answer to another attempt', stray.slice(0, 5)],
    ['no end frame', mine.slice(0, -1)],
    ['a frame missing', mine.toSpliced(2, 1)],
    ['an empty last frame missing', mine.toSpliced(3, 1)],
    ['no start', mine.slice(1)],
    ['a frame changed', mine.toSpliced(2, 1, stray.at(-2)!)],
    ['a second version', mine.toSpliced(2, 0, stray[5]!)],
    ['a start by another incarnation', [stray.at(-1)!, ...mine.slice(1)]],
  ])('completes no answer from a stream with %s', (_name, frames) => {
    expect(completed(assemble(frames))).toEqual([]);
  });
});
