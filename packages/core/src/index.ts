export * from './distribution';
export * from './configuration';
export * from './kernel/flow';
export * from './requests';
export * from './routing';
export * from './types';
export * from './utils/canonical_json';
export * from './utils/hash';
export * from './lease';
export * from './orders';

// Both parts call their answer to "which target" a choice; the request flows'
// one is the library's `TargetChoice`.
export type {TargetChoice} from './requests';
export type {TargetChoice as RoutedTarget} from './routing';
export * from './membership';
export * from './activation';
