export * from './confirmation';
export * from './store_clock';
