import {unreachable} from '../../kernel/flow';
import type {
  NotRunEvidence,
  NotRunReason,
  TableRow,
  TargetName,
} from '../../types';
import type {OwnAttempt} from '../evidence';
import {readClaim, type ClaimRow} from '../queries/claim_row';
import type {
  AttemptAddress,
  RequestFlow,
  RequestResult,
  TargetChoice,
} from '../types';
import {loadAnswer} from './answer_storage';
import type {AtMostOnceOptions} from './at_most_once_options';
import {resolveAttempt, type Resolution} from './attempt_resolution';
import {runToEnd} from './attempt_run';
import {answered, outcomeUnknown} from './call_ends';
import {
  recordAnswer,
  recordUnknown,
  releaseClaim,
  type FreeClaim,
} from './claim_records';
import {writeClaimRow} from './claim_writes';
import {createOwnAttempts} from './own_attempts';
import {chooseTarget, perform, readRow} from './steps';

/** What the call does next. */
type Next =
  /** Claim the key over `base`; `undefined`: over no row. */
  | {readonly kind: 'claim'; readonly base: FreeClaim | undefined}
  /** See what the row that stands there means for this call. */
  | {readonly kind: 'meet'; readonly row: TableRow}
  /** Run the own attempt, whose claim stands at `version`. */
  | {
      readonly kind: 'run';
      readonly own: OwnAttempt;
      readonly address: AttemptAddress;
      readonly version: number;
    }
  | {readonly kind: 'end'; readonly result: RequestResult};

// Each round either ends the call or answers another entry's write of the
// same key; so many such writes during one call mean a caller that floods
// its own key.
const MAXIMUM_ROUNDS = 16;

function end(result: RequestResult): Next {
  return {kind: 'end', result};
}

/**
 * Serves a call that may not be repeated: at most one attempt per key ever
 * runs, whichever entries its caller asks. Ends by the deadline and a few
 * bounded platform calls. The driver must step it to its end even when the
 * caller has gone, so that the outcome is recorded.
 */
export function* createAtMostOnceFlow(
  options: AtMostOnceOptions,
): RequestFlow<RequestResult> {
  const {key, fingerprint, limits, now, deadline} = options;
  const attempts = createOwnAttempts(options.createAttempt);
  const excluded: TargetName[] = [];

  function* claim(base: FreeClaim | undefined): RequestFlow<Next> {
    if (now() >= deadline) {
      return yield* giveUp(base, 'deadlineTooShort', limits.retryAfter);
    }
    const choice = yield* chooseTarget({
      kind: 'chooseTarget',
      exclude: excluded,
      versionDigest: undefined,
      until: deadline,
    });
    if (choice.kind === 'target') return yield* claimFor(base, choice);
    const {reason, retryAfter} = choice;
    if (base !== undefined) return yield* giveUp(base, reason, retryAfter);
    // The key may have been answered already: that needs no target.
    const found = yield* readRow(key);
    if (found.err) return endNotRun('platformUnavailable', limits.retryAfter);
    if (found.val === undefined) return endNotRun(reason, retryAfter);
    return {kind: 'meet', row: found.val};
  }

  function* claimFor(
    base: FreeClaim | undefined,
    choice: Extract<TargetChoice, {kind: 'target'}>,
  ): RequestFlow<Next> {
    const own = attempts.next();
    const {target, instance, incarnation} = choice;
    const address = {attempt: own.attempt, target, instance, incarnation};
    const {entry} = options;
    const row: ClaimRow = {kind: 'claimed', fingerprint, address, entry};
    const write = yield* writeClaimRow(options, base?.version, row);
    switch (write.kind) {
      case 'written':
        return {kind: 'run', own, address, version: write.version};
      case 'other':
        return {kind: 'meet', row: write.row};
      case 'undecided':
        // The claim may stand or land later, but its attempt is disowned
        // here: whoever meets it gets a tombstone from its agent.
        return endNotRun('platformUnavailable', write.retryAfter);
      default:
        return unreachable(write);
    }
  }

  function endNotRun(reason: NotRunReason, retryAfter: number): Next {
    return end(attempts.endNotRun(reason, retryAfter));
  }

  function* giveUp(
    base: FreeClaim | undefined,
    reason: NotRunReason,
    retryAfter: number,
  ): RequestFlow<Next> {
    const next = endNotRun(reason, retryAfter);
    if (base !== undefined) yield* releaseClaim(options, base);
    return next;
  }

  function* meet(row: TableRow): RequestFlow<Next> {
    const found = readClaim(row.value);
    if (found.err) return end(outcomeUnknown('the key has an unknown record'));
    const state = found.val;
    // One key for two calls would hand one call the other's answer.
    if (state.fingerprint !== fingerprint) {
      return endNotRun('keyReused', limits.retryAfter);
    }
    const {version} = row;
    switch (state.kind) {
      case 'released':
        return {kind: 'claim', base: {version, attempt: state.attempt}};
      case 'outcomeUnknown':
        return end(outcomeUnknown(state.detail));
      case 'answered': {
        const answer = yield* loadAnswer(options, state);
        if (answer !== undefined) return end(answered(answer));
        return end(outcomeUnknown('answered, but not readable at present'));
      }
      case 'claimed':
        return yield* meetClaimed(version, state.address);
      default:
        return unreachable(state);
    }
  }

  function* meetClaimed(
    version: number,
    address: AttemptAddress,
  ): RequestFlow<Next> {
    const resolution = yield* resolveAttempt(options, address);
    switch (resolution.kind) {
      case 'neverRan':
        return {kind: 'claim', base: {version, attempt: address.attempt}};
      case 'running':
        return endNotRun('inProgress', limits.retryAfter);
      case 'answerGone':
        // Its own entry may hold the answer and be about to record it.
        return end(outcomeUnknown('the call has run; no answer is recorded'));
      case 'unreachable':
        return end(outcomeUnknown('the target that may run it is silent'));
      case 'answered':
      case 'unknowable':
        return yield* recordEnd(version, address, resolution);
      default:
        return unreachable(resolution);
    }
  }

  function* recordEnd(
    version: number,
    address: AttemptAddress,
    resolution: Extract<Resolution, {kind: 'answered' | 'unknowable'}>,
  ): RequestFlow<Next> {
    if (resolution.kind === 'answered') {
      yield* recordAnswer(options, version, resolution.answer);
      return end(answered(resolution.answer));
    }
    yield* recordUnknown(options, version, address, resolution.detail);
    return end(outcomeUnknown(resolution.detail));
  }

  function* run(
    own: OwnAttempt,
    address: AttemptAddress,
    version: number,
  ): RequestFlow<Next> {
    const {attempt} = address;
    // A process that was paused after its claim would run a call on which
    // its caller has long given up.
    if (now() >= deadline) return {kind: 'claim', base: {version, attempt}};
    const effect = own.dispatch(address, {until: deadline, deadline});
    const runEnd = yield* runToEnd(effect, options);
    switch (runEnd.kind) {
      case 'answered':
        yield* recordAnswer(options, version, runEnd.answer);
        return end(answered(runEnd.answer));
      case 'refused': {
        const evidence = own.refused(runEnd.event);
        if (evidence === undefined) return yield* settle(address, version);
        const {reason, retryAfter} = runEnd.event;
        const base = {version, attempt};
        return yield* elsewhere(address, base, evidence, reason, retryAfter);
      }
      case 'unclear':
        return yield* settle(address, version);
      default:
        return unreachable(runEnd);
    }
  }

  function* elsewhere(
    address: AttemptAddress,
    base: FreeClaim,
    evidence: NotRunEvidence,
    reason: NotRunReason,
    retryAfter: number,
  ): RequestFlow<Next> {
    attempts.proved(evidence);
    excluded.push(address.target);
    if (excluded.length < limits.targetTries && now() < deadline) {
      return {kind: 'claim', base};
    }
    return yield* giveUp(base, reason, retryAfter);
  }

  /** Finds out about the own attempt after its stream broke off. */
  function* settle(
    address: AttemptAddress,
    version: number,
  ): RequestFlow<Next> {
    const base = {version, attempt: address.attempt};
    for (;;) {
      const found = yield* resolveAttempt(options, address);
      switch (found.kind) {
        case 'neverRan': {
          const {evidence} = found;
          const {retryAfter} = limits;
          return yield* elsewhere(
            address,
            base,
            evidence,
            'queueFull',
            retryAfter,
          );
        }
        case 'answerGone': {
          const detail = 'the call has run; its answer was lost';
          yield* recordUnknown(options, version, address, detail);
          return end(outcomeUnknown(detail));
        }
        case 'answered':
        case 'unknowable':
          return yield* recordEnd(version, address, found);
        case 'running':
        case 'unreachable':
          break;
        default:
          return unreachable(found);
      }
      // Without this end a frozen agent would hold its callers for ever.
      if (now() + limits.pollInterval >= deadline) {
        return end(outcomeUnknown('no answer by the deadline'));
      }
      yield* perform({kind: 'wait', duration: limits.pollInterval}, 'done');
    }
  }

  let next: Next = {kind: 'claim', base: undefined};
  for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
    switch (next.kind) {
      case 'claim':
        next = yield* claim(next.base);
        break;
      case 'meet':
        next = yield* meet(next.row);
        break;
      case 'run':
        next = yield* run(next.own, next.address, next.version);
        break;
      case 'end':
        return next.result;
      default:
        return unreachable(next);
    }
  }
  if (next.kind === 'end') return next.result;
  return attempts.endNotRun('inProgress', limits.retryAfter);
}
