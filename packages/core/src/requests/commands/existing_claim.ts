import {unreachable} from '../../kernel/flow';
import type {TableRow} from '../../types';
import {readClaim} from '../queries/claim_row';
import type {AttemptAddress, RequestFlow} from '../types';
import {loadAnswer} from './answer_storage';
import type {AtMostOnceOptions} from './at_most_once_options';
import {resolveAttempt, type Resolution} from './attempt_resolution';
import {answered, outcomeUnknown} from './call_results';
import {end, type CallStep} from './call_step';
import {recordAnswer, recordOutcomeUnknown} from './claim_records';
import type {OwnAttempts} from './own_attempts';

/** Decides how a call continues when its key already has a row. */
export function* handleExistingClaim(
  options: AtMostOnceOptions,
  attempts: OwnAttempts,
  row: TableRow,
): RequestFlow<CallStep> {
  const found = readClaim(row.value);
  if (found.err) return end(outcomeUnknown('the key has an unknown record'));
  const state = found.val;
  // One key for two different calls would give one call the other's answer.
  if (state.fingerprint !== options.fingerprint) {
    return end(attempts.endNotRun('keyReused', options.limits.retryAfter));
  }
  const {version} = row;
  switch (state.kind) {
    case 'released':
      return {kind: 'claim', base: {version, claimed: undefined}};
    case 'outcomeUnknown':
      return end(outcomeUnknown(state.detail));
    case 'answered': {
      const answer = yield* loadAnswer(options, state);
      if (answer !== undefined) return end(answered(answer));
      return end(outcomeUnknown('answered, but not readable at present'));
    }
    case 'claimed':
      return yield* resolveExistingClaim(
        options,
        attempts,
        version,
        state.address,
      );
    default:
      return unreachable(state);
  }
}

function* resolveExistingClaim(
  options: AtMostOnceOptions,
  attempts: OwnAttempts,
  version: number,
  address: AttemptAddress,
): RequestFlow<CallStep> {
  const resolution = yield* resolveAttempt(options, address);
  switch (resolution.kind) {
    case 'neverRan':
      return {kind: 'claim', base: {version, claimed: address.attempt}};
    case 'running':
      return end(attempts.endNotRun('inProgress', options.limits.retryAfter));
    case 'answerLost':
      // Its own entry may have the answer and be about to record it.
      return end(outcomeUnknown('the call has run; no answer is recorded'));
    case 'unreachable':
      return end(outcomeUnknown('the target that may run it is silent'));
    case 'answered':
    case 'unknowable':
      return yield* recordEnd(options, version, address, resolution);
    default:
      return unreachable(resolution);
  }
}

/** Records how an attempt ended, as resolved with its agent. */
export function* recordEnd(
  options: AtMostOnceOptions,
  version: number,
  address: AttemptAddress,
  resolution: Extract<Resolution, {kind: 'answered' | 'unknowable'}>,
): RequestFlow<CallStep> {
  if (resolution.kind === 'answered') {
    yield* recordAnswer(options, version, resolution.answer);
    return end(answered(resolution.answer));
  }
  yield* recordOutcomeUnknown(options, version, address, resolution.detail);
  return end(outcomeUnknown(resolution.detail));
}
