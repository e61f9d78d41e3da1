export * from './bounds';
export {createMembership} from './create_membership';
export * from './queries/held_targets';
export * from './queries/traffic';
export * from './types';
