/** Pools of keep-alive connections to engines, for a limited number of engines. */
import type { Milliseconds } from '../../core/common/time.js';
import type { Endpoint } from '../../core/registry/backend.js';
import {
  type Exchange,
  type ExchangeRequest,
  HttpConnectionPool,
} from '../platform/http-connection-pool.js';

/** Maximum number of engines with open connections; the least recently used are closed first. */
const MAX_POOLS = 1_024;
/** Some times the largest answer, a page of all cache events that an engine keeps (docs/ENGINE-API.md). */
const MAX_ANSWER_BYTES = 2_097_152;

/** One connection pool for each engine address. */
export class EngineConnections {
  readonly #timeoutMs: Milliseconds;
  /** By address and port, the least recently used first. */
  readonly #pools = new Map<string, HttpConnectionPool>();

  constructor(timeoutMs: Milliseconds) {
    this.#timeoutMs = timeoutMs;
  }

  /** Sends one request and waits for its complete answer. Never rejects. */
  exchange(endpoint: Endpoint, request: ExchangeRequest): Promise<Exchange> {
    return this.#poolOf(endpoint).exchange(request);
  }

  /** Aborts the requests in flight and closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }

  #poolOf({ address, port }: Endpoint): HttpConnectionPool {
    const key = `${address} ${port}`;
    const existing = this.#pools.get(key);
    const pool =
      existing ??
      new HttpConnectionPool({
        address,
        port,
        timeoutMs: this.#timeoutMs,
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
    this.#pools.delete(key);
    this.#pools.set(key, pool);
    this.#closeLeastRecentlyUsed();
    return pool;
  }

  #closeLeastRecentlyUsed(): void {
    if (this.#pools.size <= MAX_POOLS) return;
    const leastRecentlyUsed = this.#pools.entries().next();
    if (leastRecentlyUsed.done === true) return;
    const [key, pool] = leastRecentlyUsed.value;
    this.#pools.delete(key);
    void pool.close();
  }
}
