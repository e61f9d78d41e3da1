export * from './older_system_client';
export * from './ownership_announcer';
