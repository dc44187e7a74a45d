/** A stand-in for the platform's servers: tests script what it answers and see what it was sent. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** A request as a server saw it. */
export interface SeenRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** One request at a server, to be answered. */
export interface ServedRequest {
  readonly seen: SeenRequest;
  readonly response: ServerResponse;
  readonly socket: Socket;
  /** Resolves when the caller's side closes the connection. */
  readonly closed: Promise<unknown>;
}

/** How a server meets a request. */
export type Script = (served: ServedRequest) => void;

/** A server on loopback. */
export class ServerStandIn {
  readonly seen: SeenRequest[] = [];
  script: Script;
  readonly #server = http.createServer((request, response) => void this.#serve(request, response));
  #address = '';

  constructor(script: Script) {
    this.script = script;
  }

  get address(): string {
    return this.#address;
  }

  async start(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const seen = {
      method: request.method ?? '',
      url: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString('utf8'),
    };
    this.seen.push(seen);
    this.script({ seen, response, socket: request.socket, closed: once(response, 'close') });
  }
}

/** The headers of a stamped answer to a request. */
export function stamped(seen: SeenRequest): Record<string, string> {
  return {
    'X-Attempt-Id': String(seen.headers['x-attempt-id']),
    'X-Response-Stamp': 'stamp',
  };
}

/** Answers whole. */
export function answering(status: number, body: string): Script {
  return ({ seen, response }) => {
    response.writeHead(status, { ...stamped(seen), 'Content-Length': body.length }).end(body);
  };
}

/** Says that the request has not run. */
export const rejectingAsNotExecuted: Script = ({ seen, response }) => {
  const marks = { 'X-Attempt-Id': String(seen.headers['x-attempt-id']), 'X-Not-Executed': '1' };
  response.writeHead(503, marks).end();
};

/** An engine: reads prompts, and streams events from the one after `Last-Event-Id`. */
export function engine(events: number, breakAfter = Number.POSITIVE_INFINITY): Script {
  return ({ seen, response }) => {
    if (seen.headers['x-stage'] === 'prefill') {
      const body = JSON.stringify({ kvHandle: 'handle-1', tokens: 10, version: 1 });
      response.writeHead(200, { 'X-Attempt-Id': String(seen.headers['x-attempt-id']) }).end(body);
      return;
    }
    if (seen.method === 'DELETE') {
      response.writeHead(200).end();
      return;
    }
    response.writeHead(200, { ...stamped(seen), 'Content-Type': 'text/event-stream' });
    const first = Number(seen.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= Math.min(events, breakAfter); id += 1) {
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    }
    if (breakAfter >= events) {
      response.end();
      return;
    }
    response.write('id: 99\ndata: ha', () => response.destroy());
  };
}
