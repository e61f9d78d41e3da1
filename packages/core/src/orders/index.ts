export {createTargetReconciler} from './create_target_reconciler';
export {wantedState} from './queries/wanted_state';
export * from './types';
