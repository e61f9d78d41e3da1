export * from './settings';
export * from './types/settings';
