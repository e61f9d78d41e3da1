export * from './configuration';
export * from './kernel/flow';
export * from './ownership';
export * from './types';
export * from './utils/canonical_json';
export * from './utils/hash';
