export * from './confirmation';
export * from './reading_use';
export * from './store_clock';
export * from './store_availability';
export * from './store_distance';
