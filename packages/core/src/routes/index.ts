export * from './destinations';
export * from './residency';
export * from './route_table';
export * from './types';
