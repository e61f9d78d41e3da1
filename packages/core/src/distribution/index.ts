export * from './load_offsets';
export * from './neighbour_choice';
export * from './transfer_pacer';
export * from './queries/check_manifest';
export * from './swarm_node';
export * from './transfer_policy';
export * from './types';
export * from './version_plan';
