export * from './types/ports';
