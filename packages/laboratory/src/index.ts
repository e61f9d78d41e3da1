export * from './swarm_run';
export * from './swarm_site';
export * from './virtual_clock';
