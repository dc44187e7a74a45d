/**
 * A stand-in of the platform's calls that are the duty of one daemon at a time: usage reports and orders of
 * capacity, each under a fencing token.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { DUTY_HEADERS } from '../platform/names.js';
import type { DutyFault } from './plan.js';
import type { DutyRecord } from './record.js';

/** The service. */
export class DutyService {
  fault: DutyFault | undefined;
  readonly records: DutyRecord[] = [];
  readonly #highestFence = new Map<string, number>();
  readonly #server = http.createServer((request, response) => void this.#serve(request, response));

  async open(): Promise<number> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const atMs = performance.now();
    response.on('error', () => response.destroy());
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return; // It was broken off before it had arrived.
    }
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
      body: Buffer.concat(chunks).toString('utf8'),
      isAccepted,
      atMs,
    });
    if (this.fault === 'lose-answers') response.destroy();
    else response.writeHead(isAccepted ? 200 : 409).end();
  }
}
