export * from './buffer_limit';
export * from './connection_limits';
export * from './load_fleet_settings';
export type {
  FleetAgentSettings,
  FleetEntrySettings,
  FleetSettings,
} from './schema';
