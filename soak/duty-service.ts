/**
 * Simulates the platform's API for the tasks that one daemon at a time performs (duties): usage reports and capacity
 * orders. Each call carries a fencing token; a call with a token lower than one seen before is rejected.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { DUTY_HEADERS } from '../platform/names.js';
import { closeListener, openListener } from '../src/lab/common/listener.js';
import type { DutyFault } from './plan.js';
import type { DutyRecord } from './record.js';
import { readBody } from './request-body.js';

/** Simulated duty API; records every call. */
export class DutyService {
  fault: DutyFault | undefined;
  readonly records: DutyRecord[] = [];
  readonly #highestFence = new Map<string, number>();
  readonly #server = http.createServer((request, response) => void this.#serve(request, response));

  async open(): Promise<number> {
    const { port } = await openListener(this.#server, { address: '127.0.0.1', port: 0 });
    return port;
  }

  close(): void {
    void closeListener(this.#server);
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const atMs = performance.now();
    response.on('error', () => response.destroy());
    const body = await readBody(request);
    if (body === undefined) return;
    if (this.fault === 'unavailable' || this.fault === 'too-many') {
      response.writeHead(this.fault === 'unavailable' ? 503 : 429).end();
      return;
    }
    const path = request.url ?? '';
    const fence = Number(request.headers[DUTY_HEADERS.fence.toLowerCase()]);
    const isAccepted = fence >= (this.#highestFence.get(path) ?? 0);
    if (isAccepted) this.#highestFence.set(path, fence);
    this.records.push({
      path,
      holder: String(request.headers[DUTY_HEADERS.holder.toLowerCase()]),
      fence,
      body,
      isAccepted,
      atMs,
    });
    if (this.fault === 'lose-answers') response.destroy();
    else response.writeHead(isAccepted ? 200 : 409).end();
  }
}
