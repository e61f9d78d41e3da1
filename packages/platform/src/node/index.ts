export * from './checked_connections';
export * from './http_platform';
