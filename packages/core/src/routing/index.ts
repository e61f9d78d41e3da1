export * from './admission';
export * from './fair_queue';
export {promptPrefix} from './prefix';
export * from './retry_budget';
export {createRouter, type Router} from './router';
export type * from './types';
export * from './subset';
export * from './workspace_limits';
export {SHARE_SUM_BOUND} from './constants';
