export * from './demand_meter';
export * from './level';
export * from './level_admission';
export * from './place_times';
export * from './site_demand';
export * from './types';
export * from './waiting_order';
export * from './workspace_parts';
