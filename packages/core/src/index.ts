export * from './kernel/flow';
export * from './requests';
export * from './routing';
export * from './types';
export * from './utils/canonical_json';
export * from './utils/hash';
export * from './lease';
export * from './orders';
