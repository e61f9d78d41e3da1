export * from './event_splitter';
