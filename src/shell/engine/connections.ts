/** Pooled keep-alive connections to many engines, at most so many engines at a time. */
import type { Milliseconds } from '../../core/common/time.js';
import type { Endpoint } from '../../core/registry/backend.js';
import {
  type Exchange,
  type ExchangeRequest,
  HttpConnectionPool,
} from '../platform/http-connection-pool.js';

/** Engines whose connections are kept; the longest unused are closed first. */
const MAX_POOLS = 1_024;

/** One pool for each engine address. */
export class EngineConnections {
  readonly #timeoutMs: Milliseconds;
  /** By address and port, the longest unused first. */
  readonly #pools = new Map<string, HttpConnectionPool>();

  constructor(timeoutMs: Milliseconds) {
    this.#timeoutMs = timeoutMs;
  }

  /** Sends one request and waits for its whole answer. Never rejects. */
  exchange(endpoint: Endpoint, request: ExchangeRequest): Promise<Exchange> {
    return this.#poolOf(endpoint).exchange(request);
  }

  /** Breaks off what is in flight and closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }

  #poolOf({ address, port }: Endpoint): HttpConnectionPool {
    const key = `${address} ${port}`;
    const known = this.#pools.get(key);
    const pool = known ?? new HttpConnectionPool({ address, port, timeoutMs: this.#timeoutMs });
    this.#pools.delete(key);
    this.#pools.set(key, pool);
    this.#closeLongestUnused();
    return pool;
  }

  #closeLongestUnused(): void {
    if (this.#pools.size <= MAX_POOLS) return;
    const oldest = this.#pools.entries().next();
    if (oldest.done === true) return;
    const [key, pool] = oldest.value;
    this.#pools.delete(key);
    void pool.close();
  }
}
