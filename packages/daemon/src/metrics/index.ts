export {
  createMetrics,
  type Metrics,
  type MetricsOptions,
} from './create_metrics';
export {
  METRICS,
  type MetricNameOf,
  type MetricDefinition,
  type MetricTags,
} from './metric_definitions';
