export * from './agent';
export * from './entry';
export * from './logs';
export * from './metrics';
export * from './settings';
export * from './site/request_dump';
export * from './types/process';
export * from './types/settings';
