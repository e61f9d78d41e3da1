export * from './types/effects';
export * from './types/intent';
export * from './types/plan';
export * from './types/spreading';
export * from './types/stored';
