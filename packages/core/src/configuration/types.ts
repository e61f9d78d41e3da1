export * from './types/effects';
export * from './types/intent';
export * from './types/plan';
export * from './types/propagation';
export * from './types/stored';
