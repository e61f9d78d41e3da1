export * from './entry_states';
export * from './relay_choice';
export * from './report_due';
export * from './stale_report_filter';
export * from './silent_peers';
export * from './table_reader';
