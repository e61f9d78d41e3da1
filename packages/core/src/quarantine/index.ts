export * from './quarantine';
export type * from './types';
