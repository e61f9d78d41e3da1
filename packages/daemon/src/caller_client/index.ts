export * from './caller_client';
export * from './types';
