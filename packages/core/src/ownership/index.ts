export * from './commands/finish_move';
export * from './queries/find_awaited';
export * from './queries/open_items';
export * from './queries/permissions';
export * from './types';
