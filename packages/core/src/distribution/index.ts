export * from './load_places';
export * from './neighbour_choice';
export * from './pace';
export * from './queries/check_manifest';
export * from './swarm_node';
export * from './transfer_policy';
export * from './types';
export * from './version_plan';
