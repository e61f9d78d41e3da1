export * from './answer_head';
