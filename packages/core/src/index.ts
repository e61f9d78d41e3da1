export * from './kernel/flow';
export * from './types';
export * from './utils/canonical_json';
export * from './utils/hash';
export * from './lease';
export * from './orders';
export * from './membership';
export * from './activation';
