import {unreachable} from '../kernel/flow';

/** The head of an answer, as its parser returned it. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values of the fields, alternating. */
  readonly lines: readonly string[];
}

/** Why an answer with this head can't be used. */
export type AnswerHeadFault = 'status' | 'fieldName' | 'fieldValue';

/** Range of the statuses that end a request. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** A token of HTTP. */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Visible characters, blanks and tabs, also of an extended character set. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/**
 * Checks the head of an answer; undefined if it is sound.
 *
 * What a parser accepts depends on its version and its options. A head that one
 * accepts and a writer refuses fails when it is passed on, and one that the
 * writer accepts too reaches the caller.
 */
export function findAnswerHeadFault(
  head: AnswerHead,
): AnswerHeadFault | undefined {
  if (!isFinalStatus(head.status)) return 'status';
  for (const [name, value] of fieldsOf(head)) {
    if (!FIELD_NAME.test(name)) return 'fieldName';
    if (!FIELD_VALUE.test(value)) return 'fieldValue';
  }
  return undefined;
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
    default:
      return unreachable(fault);
  }
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
