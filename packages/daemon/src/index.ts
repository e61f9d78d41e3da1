export * from './swarm';
export * from './types/settings';
