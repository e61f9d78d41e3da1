export * from './first_event';
export * from './relative_paces';
export * from './observed_pace';
export * from './stream_end';
export * from './stream_lengths';
