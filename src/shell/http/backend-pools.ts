/** Connections to backends: keep-alive pools by address and port, closed when idle. */
import { isIPv6 } from 'node:net';
import { Pool } from 'undici';
import type { MonotonicMs } from '../../core/common/time.js';
import type { HttpLimits } from './limits.js';

/** Pools without a dispatch for this time are closed. */
const POOL_IDLE_MS = 60_000;

interface PoolEntry {
  readonly pool: Pool;
  lastUsedAt: MonotonicMs;
}

/** The pools of the backends that requests were dispatched to recently. */
export class BackendPools {
  readonly #pools = new Map<string, PoolEntry>();
  readonly #options: Pool.Options;

  constructor(limits: HttpLimits) {
    this.#options = {
      connections: limits.maxConnectionsPerBackend,
      pipelining: 1,
      connect: { timeout: limits.connectTimeoutMs },
      keepAliveTimeout: limits.backendKeepAliveMs,
      keepAliveMaxTimeout: limits.backendKeepAliveMs,
      headersTimeout: limits.backendHeadersTimeoutMs,
      bodyTimeout: limits.backendStallTimeoutMs,
    };
  }

  /** How many pools are open. */
  get size(): number {
    return this.#pools.size;
  }

  /**
   * The pool of an address. With `fresh`, a separate pool for requests that must not be repeated,
   * each of which opens its own connection: on a kept connection that the backend is just closing,
   * the outcome of the request would be unknown.
   */
  get(address: string, port: number, fresh: boolean, now: MonotonicMs): Pool {
    const key = `${fresh ? 'fresh' : 'kept'} ${address} ${port}`;
    const existing = this.#pools.get(key);
    if (existing !== undefined) {
      existing.lastUsedAt = now;
      return existing.pool;
    }
    const origin = `http://${isIPv6(address) ? `[${address}]` : address}:${port}`;
    const pool = new Pool(origin, this.#options);
    this.#pools.set(key, { pool, lastUsedAt: now });
    return pool;
  }

  /** Closes idle pools. Requests that still run in them are completed first. */
  sweep(now: MonotonicMs): void {
    for (const [key, entry] of this.#pools) {
      if (now - entry.lastUsedAt < POOL_IDLE_MS) continue;
      this.#pools.delete(key);
      entry.pool.close().catch(ignoreCloseError);
    }
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((entry) => entry.pool.destroy()));
  }
}

/** Closing fails only for a pool that is already closed. */
function ignoreCloseError(): void {}
