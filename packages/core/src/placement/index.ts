export * from './target_book';
export * from './target_life';
export * from './types';
export * from './list_memory';
export * from './directory_choice';
export * from './version_rule';
export * from './allowance';
export * from './answer_times';
