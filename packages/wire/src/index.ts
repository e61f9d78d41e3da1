export * from './generated/hibiscusbeam/v1/site';
