export * from './configuration';
export * from './digest';
export * from './manifest';
export * from './names';
export * from './outcome';
export * from './table';
export * from './table_effects';
export * from './units';
