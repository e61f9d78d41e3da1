export * from './entry_states';
export * from './relay_choice';
export * from './silent_peers';
export * from './table_reader';
