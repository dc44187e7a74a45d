/** Health checks of web backends: a backend is healthy if `GET /healthz` answers 200. */
import { Agent, request } from 'undici';
import type { Milliseconds } from '../core/common/time.js';
import type { Endpoint } from '../core/registry/backend.js';

const CHECK_TIMEOUT_MS: Milliseconds = 1_000;
const HTTP_OK = 200;

/** Checks web backends. */
export interface HealthClient {
  /** Whether the backend reports itself healthy. Never rejects. */
  isHealthy(endpoint: Endpoint): Promise<boolean>;
  /** Closes the connections. */
  close(): Promise<void>;
}

/** Creates a client. Connects at the first check. */
export function createHealthClient(): HealthClient {
  const dispatcher = new Agent({
    connect: { timeout: CHECK_TIMEOUT_MS },
    headersTimeout: CHECK_TIMEOUT_MS,
    bodyTimeout: CHECK_TIMEOUT_MS,
  });
  return {
    async isHealthy({ address, port }) {
      const host = address.includes(':') ? `[${address}]` : address;
      try {
        const answer = await request(`http://${host}:${port}/healthz`, { dispatcher });
        await answer.body.dump();
        return answer.statusCode === HTTP_OK;
      } catch {
        return false;
      }
    },
    close: () => dispatcher.destroy(),
  };
}
