export * from './http_platform';
