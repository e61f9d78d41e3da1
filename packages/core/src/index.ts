export * from './admission';
export * from './activation';
export * from './configuration';
export * from './distribution';
export * from './event_stream';
export * from './forecast';
export * from './forwarding';
export * from './freshness';
export * from './kernel/flow';
export * from './lease';
export * from './membership';
export * from './memory';
export * from './orders';
export * from './requests';
export * from './routing';
export * from './ownership';
export * from './placement';
export * from './quarantine';
export * from './received_bytes';
export * from './relays';
export * from './routes';
export * from './types';
export * from './utils/canonical_json';
export * from './utils/hash';

// Aliases, since several modules export types with these names.
export type {TargetChoice as IntentTargets} from './configuration';
export type {TargetChoice as DispatchTarget, WaitEffect} from './requests';
export type {TargetChoice} from './routing';
