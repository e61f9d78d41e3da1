export {
  activationKey,
  parseActivationRow,
  type ActivationEntry,
  type ActivationRow,
} from './activation_row';
export {createActivation} from './create_activation';
export * from './types';
