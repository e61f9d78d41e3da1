export * from './byte_blocks';
export * from './fragment_limit';
export * from './line_reading';
export * from './received_bytes';
