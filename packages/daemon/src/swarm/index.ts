export * from './chunk_receiver';
export * from './grpc_chunks';
export * from './swarm_driver';
export * from './types';
