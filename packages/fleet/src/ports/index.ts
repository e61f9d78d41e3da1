export type * from './engine';
export type * from './errors';
export type * from './host_store';
export type * from './protocol';
