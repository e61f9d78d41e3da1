export * from './forward_request';
export type {
  AttemptEnd as ForwardAttemptEnd,
  AttemptOutcome as ForwardAttemptOutcome,
  ForwardEffect,
  ForwardedRequest,
  ForwardReply,
  ForwardResult,
  NoSlotReason,
  NotRunCause,
  SlotReply,
  AttemptReport,
  UnknownCause,
} from './types';
