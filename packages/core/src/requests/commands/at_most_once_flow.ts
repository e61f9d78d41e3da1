import {unreachable} from '../../kernel/flow';
import type {NotRunEvidence, NotRunReason, TargetName} from '../../types';
import type {OwnAttempt} from '../evidence';
import type {ClaimRow} from '../queries/claim_row';
import type {
  AttemptAddress,
  RequestFlow,
  RequestResult,
  TargetChoice,
} from '../types';
import type {AtMostOnceOptions} from './at_most_once_options';
import {awaitResolution} from './attempt_resolution';
import {runToEnd} from './attempt_run';
import {answered, outcomeUnknown} from './call_results';
import {end, type CallStep} from './call_step';
import {handleExistingClaim, recordEnd} from './existing_claim';
import {
  recordAnswer,
  recordOutcomeUnknown,
  releaseClaim,
  type FreeClaim,
} from './claim_records';
import {writeClaimRow} from './claim_writes';
import {createOwnAttempts} from './own_attempts';
import {chooseTarget, readRow} from './steps';

/** The part of a refusal that is reported to the caller. */
interface Refusal {
  readonly reason: NotRunReason;
  readonly retryAfter: number;
}

// Each round either ends the call or reacts to another entry's write of the
// same key. This many writes during one call mean a caller that floods its own
// key.
const MAX_ROUNDS = 16;

/**
 * Serves an at-most-once call: at most one attempt per key ever runs, whichever
 * entries the caller contacts. Ends at the deadline, plus a few bounded
 * platform calls. The driver must step it to its end even after the caller has
 * gone, so that the outcome is recorded.
 */
export function* createAtMostOnceFlow(
  options: AtMostOnceOptions,
): RequestFlow<RequestResult> {
  const {key, fingerprint, limits, now, deadline} = options;
  const attempts = createOwnAttempts(options.createAttempt);
  const excluded: TargetName[] = [];
  /** The latest refusal by an agent, more specific than "no target is left". */
  let refused: Refusal | undefined;

  function* claim(base: FreeClaim | undefined): RequestFlow<CallStep> {
    if (now() >= deadline) {
      return yield* giveUp(base, 'deadlineTooShort', limits.retryAfter);
    }
    const choice = yield* chooseTarget({
      kind: 'chooseTarget',
      exclude: excluded,
      versionDigest: undefined,
      until: deadline,
    });
    if (choice.kind === 'target') return yield* claimForTarget(base, choice);
    const {reason, retryAfter} = refused ?? choice;
    if (base !== undefined) return yield* giveUp(base, reason, retryAfter);
    // A recorded answer to this key can be returned without a target.
    const found = yield* readRow(key);
    if (found.err) return endNotRun('platformUnavailable', limits.retryAfter);
    if (found.val === undefined) return endNotRun(reason, retryAfter);
    return {kind: 'existingRow', row: found.val};
  }

  function* claimForTarget(
    base: FreeClaim | undefined,
    choice: Extract<TargetChoice, {kind: 'target'}>,
  ): RequestFlow<CallStep> {
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
        return {kind: 'existingRow', row: write.row};
      case 'undecided':
        // The claim may have been written or still be written later, but its
        // attempt is disowned here: whoever finds the claim gets a tombstone
        // from its agent.
        return endNotRun('platformUnavailable', write.retryAfter);
      default:
        return unreachable(write);
    }
  }

  function endNotRun(reason: NotRunReason, retryAfter: number): CallStep {
    return end(attempts.endNotRun(reason, retryAfter));
  }

  function* giveUp(
    base: FreeClaim | undefined,
    reason: NotRunReason,
    retryAfter: number,
  ): RequestFlow<CallStep> {
    const next = endNotRun(reason, retryAfter);
    if (base === undefined) return next;
    const taken = yield* releaseClaim(options, base);
    // While this entry was paused, another one may have had the attempt
    // tombstoned and run the call itself. After a "not run" the caller might
    // then repeat a charge by hand, so the row decides.
    return taken === undefined ? next : {kind: 'existingRow', row: taken};
  }

  function* run(
    own: OwnAttempt,
    address: AttemptAddress,
    version: number,
  ): RequestFlow<CallStep> {
    const {attempt} = address;
    // A process that was paused after its claim would run a call that its
    // caller has long given up.
    if (now() >= deadline) {
      return {kind: 'claim', base: {version, claimed: attempt}};
    }
    const effect = own.dispatch(address, {
      until: deadline,
      deadline,
      versionDigest: undefined,
    });
    const runEnd = yield* runToEnd(effect, options);
    switch (runEnd.kind) {
      case 'answered':
        yield* recordAnswer(options, version, runEnd.answer);
        return end(answered(runEnd.answer));
      case 'refused': {
        const evidence = own.refused(runEnd.event);
        if (evidence === undefined) return yield* resolveOwn(address, version);
        const base = {version, claimed: attempt};
        return yield* tryOtherTarget(address, base, evidence, runEnd.event);
      }
      case 'unclear':
        return yield* resolveOwn(address, version);
      default:
        return unreachable(runEnd);
    }
  }

  function* tryOtherTarget(
    address: AttemptAddress,
    base: FreeClaim,
    evidence: NotRunEvidence,
    refusal: Refusal,
  ): RequestFlow<CallStep> {
    const {reason, retryAfter} = refusal;
    refused = refusal;
    attempts.recordNotRun(evidence);
    excluded.push(address.target);
    if (excluded.length < limits.maxTargets && now() < deadline) {
      return {kind: 'claim', base};
    }
    return yield* giveUp(base, reason, retryAfter);
  }

  /**
   * Finds out what became of the flow's own attempt after its stream broke off.
   */
  function* resolveOwn(
    address: AttemptAddress,
    version: number,
  ): RequestFlow<CallStep> {
    const found = yield* awaitResolution(options, address);
    switch (found.kind) {
      case 'neverRan': {
        const base = {version, claimed: address.attempt};
        const refusal = {
          reason: 'queueFull',
          retryAfter: limits.retryAfter,
        } as const;
        return yield* tryOtherTarget(address, base, found.evidence, refusal);
      }
      case 'answerLost': {
        const detail = 'the call has run; its answer was lost';
        yield* recordOutcomeUnknown(options, version, address, detail);
        return end(outcomeUnknown(detail));
      }
      case 'answered':
      case 'unknowable':
        return yield* recordEnd(options, version, address, found);
      case 'undecided':
        return end(outcomeUnknown('no answer by the deadline'));
      default:
        return unreachable(found);
    }
  }

  let next: CallStep = {kind: 'claim', base: undefined};
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    switch (next.kind) {
      case 'claim':
        next = yield* claim(next.base);
        break;
      case 'existingRow':
        next = yield* handleExistingClaim(options, attempts, next.row);
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
