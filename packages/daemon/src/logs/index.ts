export {createLog} from './create_log';
export type {Log, LogFields, LogOptions, LogPart} from './types';
