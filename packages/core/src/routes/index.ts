export * from './destinations';
export * from './route_table';
export * from './types';
