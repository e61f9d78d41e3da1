export * from './node';
export * from './types/ports';
