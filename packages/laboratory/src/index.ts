export * from './experiment/experiment_file';
export * from './experiment/run_experiment';
export * from './swarm_run';
export * from './swarm_site';
export * from './virtual_clock';
