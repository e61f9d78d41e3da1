export * from './confirmation';
export * from './store_clock';
export * from './store_distance';
