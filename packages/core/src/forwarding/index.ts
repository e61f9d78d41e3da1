export * from './forward_request';
export type {
  AttemptEnd as ForwardAttemptEnd,
  AttemptOutcome as ForwardAttemptOutcome,
  ForwardEffect,
  ForwardedRequest,
  ForwardReply,
  ForwardResult,
  NoPlaceReason,
  NotRunCause,
  PlaceReply,
  SendReport,
  UnknownCause,
} from './types';
