/** Metrics of a daemon, in the Prometheus text format. */
export type { FleetSample, HeldLease } from './fleet-gauges.js';
export { createMetrics, type Metrics, type MetricsOptions } from './metrics.js';
