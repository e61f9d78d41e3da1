export * from './entry_states';
export * from './relay_choice';
export * from './report_need';
export * from './report_order';
export * from './silent_peers';
export * from './table_reader';
