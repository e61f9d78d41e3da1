export * from './buffer_bound';
export * from './load_fleet_settings';
export type {
  FleetAgentSettings,
  FleetEntrySettings,
  FleetSettings,
} from './schema';
