/** The daemon's core: one reducer over routing, pool control, membership and configuration. */
export type { DaemonEffect } from './effect.js';
export type { DaemonEvent } from './event.js';
export { type DaemonReadiness, readinessOf } from './readiness.js';
export { createDaemonState, type DaemonIdentity, type DaemonState } from './state.js';
export { stepDaemon } from './step.js';
