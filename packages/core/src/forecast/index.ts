export * from './first_event';
export * from './relative_paces';
export * from './seen_paces';
