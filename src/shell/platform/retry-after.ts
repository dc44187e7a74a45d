/** Reads how long the platform wants its callers to wait. */
import type { Milliseconds } from '../../core/common/time.js';
import type { Exchange } from './http-connection-pool.js';

/** How long to wait where the platform does not say. */
export const DEFAULT_RETRY_AFTER_MS = 500;

const MAX_RETRY_AFTER_MS = 60_000;

/** The answer's `retry-after-ms`, at most a minute; undefined when absent or malformed. */
export function retryAfterMs(exchange: Exchange & { kind: 'answered' }): Milliseconds | undefined {
  const header = exchange.headers['retry-after-ms'];
  const value = typeof header === 'string' && header !== '' ? Number(header) : Number.NaN;
  if (!Number.isFinite(value) || value < 0) return undefined;
  return Math.min(value, MAX_RETRY_AFTER_MS);
}
