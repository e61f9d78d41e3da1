export * from './settings';
export * from './swarm';
export * from './types/settings';
