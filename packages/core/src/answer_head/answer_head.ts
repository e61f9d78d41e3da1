import {Err, Ok, type Result} from 'ts-results';
import {unreachable} from '../kernel/flow';

/** The head of an answer, as its parser returned it. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values of the fields, alternating. */
  readonly lines: readonly string[];
}

/** What marks the end of an answer's body. */
export type BodyEnd = 'length' | 'lastChunk' | 'connection';

/** Why an answer with this head can't be used. */
export type AnswerHeadFault =
  | 'status'
  | 'fieldName'
  | 'fieldValue'
  /** The body is in a transfer coding other than chunked. */
  | 'transferCoding'
  /** The length of the body is not a single number. */
  | 'length';

/** Range of the statuses that end a request. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** A token of HTTP. */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Visible characters, blanks and tabs, also of an extended character set. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

const LENGTH = /^\d+$/;

/**
 * Checks the head of an answer, and returns what marks the end of its body. A
 * parser may accept heads that can't be written, depending on its options.
 */
export function readAnswerHead(
  head: AnswerHead,
): Result<BodyEnd, AnswerHeadFault> {
  if (!isFinalStatus(head.status)) return Err('status');
  const codings: string[] = [];
  const lengths: string[] = [];
  for (const [name, value] of fieldsOf(head)) {
    if (!FIELD_NAME.test(name)) return Err('fieldName');
    if (!FIELD_VALUE.test(value)) return Err('fieldValue');
    const key = name.toLowerCase();
    if (key === 'transfer-encoding') codings.push(value.trim().toLowerCase());
    if (key === 'content-length') lengths.push(value.trim());
  }
  return readBodyEnd(codings, lengths);
}

/**
 * A body in another coding than chunked can't be decoded here, and its caller,
 * who isn't told the coding, would take the encoded bytes for the answer.
 */
function readBodyEnd(
  codings: readonly string[],
  lengths: readonly string[],
): Result<BodyEnd, AnswerHeadFault> {
  if (codings.length > 0) {
    const isChunked = codings.length === 1 && codings[0] === 'chunked';
    if (!isChunked) return Err('transferCoding');
    return lengths.length === 0 ? Ok('lastChunk') : Err('length');
  }
  const [length, ...others] = lengths;
  if (length === undefined) return Ok('connection');
  const isNumber = others.length === 0 && LENGTH.test(length);
  return isNumber ? Ok('length') : Err('length');
}

/** Describes a fault for a log line or an error. */
export function describeAnswerHeadFault(fault: AnswerHeadFault): string {
  switch (fault) {
    case 'status':
      return 'the status of the answer ends no request';
    case 'fieldName':
      return "the name of a field in the answer's head is malformed";
    case 'fieldValue':
      return "the value of a field in the answer's head is malformed";
    case 'transferCoding':
      return 'the transfer coding of the answer is unknown';
    case 'length':
      return 'the length of the answer is malformed';
    default:
      return unreachable(fault);
  }
}

/** Code of the error for an answer whose head can't be used. */
export const ANSWER_HEAD_FAULT_CODE = 'ERR_ANSWER_HEAD';

/** Creates the error for an answer whose head can't be used. */
export function answerHeadError(fault: AnswerHeadFault): Error {
  const error = new Error(describeAnswerHeadFault(fault));
  return Object.assign(error, {code: ANSWER_HEAD_FAULT_CODE});
}

function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

function* fieldsOf({
  lines,
}: AnswerHead): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index < lines.length; index += 2) {
    yield [lines[index] ?? '', lines[index + 1] ?? ''];
  }
}
