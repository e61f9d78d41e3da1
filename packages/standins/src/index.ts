export {answerText} from './engine/answer_text';
export type {AnswerSource} from './engine/answer_text';
export {startEngine} from './engine/engine';
export type {EngineOptions} from './engine/engine';
export {hashPrefix} from './engine/prefix_cache';
export type {AnswerLine} from './engine/run';
export {startOlderSystem} from './older_system/older_system';
export type {
  OlderSystemEngine,
  OlderSystemOptions,
} from './older_system/older_system';
export {startPlainService} from './plain_service/plain_service';
export type {PlainServiceOptions} from './plain_service/plain_service';
export {startPlatform} from './platform/platform';
export type {Clock} from './shared/clock';
export type {StandIn, StandInOptions} from './shared/server';
