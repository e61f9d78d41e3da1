export * from './commands/raise_incarnation';
export {createLease} from './create_lease';
export * from './types';
