export {
  createMetrics,
  type Metrics,
  type MetricsOptions,
} from './create_metrics';
export {
  METRICS,
  type MetricNameOf,
  type MetricNotes,
  type MetricTags,
} from './metric_names';
