export type * from './ports';
export {readSmallTable} from './link/first_read';
export * from './link/http_calls';
export {
  runFleetProcess,
  type SettingsOf,
  type StartRole,
} from './runtime/fleet_process';
export type {StoreCallRecord} from './runtime/startup_log';
export * from './settings';
