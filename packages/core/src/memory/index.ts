export * from './engine_memory';
export * from './expected_output';
export * from './incoming_requests';
export * from './request_sizes';
export * from './slow_readers';
