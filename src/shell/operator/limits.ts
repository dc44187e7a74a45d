/** Limits on the size and duration of operator calls and on their connections. */
import type { Milliseconds } from '../../core/common/time.js';

/** The operator server's limits. */
export interface OperatorLimits {
  /** Larger bodies are refused with 413. */
  readonly bodyBytes: number;
  /** Memory of all bodies that are being read; a body beyond it is refused with 503. */
  readonly allBodiesBytes: number;
  /** Larger header blocks are refused with 431. */
  readonly headerBytes: number;
  /** A request that has not arrived completely within this time is refused with 408. */
  readonly requestTimeoutMs: Milliseconds;
  /** A connection without traffic for this time is closed. Must exceed the duration of any change. */
  readonly idleTimeoutMs: Milliseconds;
  /** Connections beyond this number are closed immediately. */
  readonly connections: number;
}

/** Sized for the largest fleet planned for: a document of 7,300 tenants is under 2 MB. */
export const DEFAULT_OPERATOR_LIMITS: OperatorLimits = {
  bodyBytes: 4 * 1024 * 1024,
  allBodiesBytes: 32 * 1024 * 1024,
  headerBytes: 16 * 1024,
  requestTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
  connections: 64,
};
