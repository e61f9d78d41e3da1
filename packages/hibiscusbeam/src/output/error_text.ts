import {EXIT_CODES, type ExitCode} from '../exit_codes';
import type {Refusal} from '../operator/replies';
import type {OperatorError} from '../operator/types';
import {sanitizeText} from './text';

/** Lines for standard error that name the fault and what to do about it. */
export function describeError(error: OperatorError): readonly string[] {
  switch (error.kind) {
    case 'refused':
      return describeRefusal(error.refusal).map(sanitizeText);
    case 'unreachable':
      return [
        `unreachable: ${sanitizeText(error.detail)}`,
        'nothing was changed; try again, or name another entry with --entry',
      ];
    case 'outcomeUnknown':
      return [
        `outcome unknown: ${sanitizeText(error.detail)}`,
        'it may have taken effect; ask again with the same plan id, which is safe to repeat',
      ];
  }
}

/** Exit code for an error. */
export function exitCodeOf(error: OperatorError): ExitCode {
  switch (error.kind) {
    case 'refused':
      return EXIT_CODES.refused;
    case 'unreachable':
      return EXIT_CODES.unreachable;
    case 'outcomeUnknown':
      return EXIT_CODES.outcomeUnknown;
  }
}

function describeRefusal(refusal: Refusal): readonly string[] {
  const field = refusal.field === undefined ? '' : `${refusal.field}: `;
  const detail =
    refusal.detail === undefined ? '' : `: ${field}${refusal.detail}`;
  const faults = (refusal.faults ?? []).map(fault =>
    fault.path === ''
      ? `  ${fault.detail}`
      : `  ${fault.path}: ${fault.detail}`,
  );
  const others = (refusal.others ?? []).map(other => {
    const shared = other.shared
      .map(subject => `${subject.kind} ${subject.name}`)
      .join(', ');
    const both = shared === '' ? '' : ` (also changes ${shared})`;
    return `  generation ${other.generation}: ${other.summary}, plan ${other.planId} by ${other.operator}${both}`;
  });
  const advice = refusal.advice === undefined ? [] : [refusal.advice];
  return [
    `refused: ${refusal.error}${detail}`,
    ...faults,
    ...others,
    ...advice,
  ];
}
