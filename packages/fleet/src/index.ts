export type * from './ports';
export * from './link/http_calls';
export {
  runFleetProcess,
  type SettingsOf,
  type StartRole,
} from './runtime/fleet_process';
export type {StoreCallRecord} from './runtime/startup_log';
export * from './settings';
