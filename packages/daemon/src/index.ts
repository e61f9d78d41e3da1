export * from './types/settings';
