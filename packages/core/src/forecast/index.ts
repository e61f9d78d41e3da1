export * from './first_event';
export * from './relative_paces';
export * from './seen_paces';
export * from './stream_end';
export * from './stream_lengths';
