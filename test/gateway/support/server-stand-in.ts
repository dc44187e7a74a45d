/** A fake of the platform's servers: tests script its answers and inspect the requests that it received. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Statuses that end no request, or that no answer may have. */
export const UNUSABLE_STATUSES = ['000', '099', '101', '199', '600', '999'] as const;

/** A request as a server received it. */
export interface SeenRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A request at a server that its script has to answer. */
export interface ServedRequest {
  readonly seen: SeenRequest;
  readonly response: ServerResponse;
  readonly socket: Socket;
  /** Resolves when the response is finished or its connection is closed. */
  readonly closed: Promise<unknown>;
}

/** How a server handles a request. */
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

/** The id of a caller's request as its answer carries it back; the daemon's own calls have none. */
export function attemptIdOf(seen: SeenRequest): Record<string, string> {
  const id = seen.headers['x-attempt-id'];
  return id === undefined ? {} : { 'X-Attempt-Id': String(id) };
}

/** The headers of a stamped answer to a request. */
export function stamped(seen: SeenRequest): Record<string, string> {
  return { ...attemptIdOf(seen), 'X-Response-Stamp': 'stamp' };
}

/** Answers with a complete body. */
export function answering(status: number, body: string): Script {
  return ({ seen, response }) => {
    response.writeHead(status, { ...stamped(seen), 'Content-Length': body.length }).end(body);
  };
}

/** How a server ends the connection of an answer that it cuts. */
export type CutEnding = 'closes' | 'resets';

/** Writes bytes to the connection of a request as they are, and ends it. */
export function sendCut({ socket }: ServedRequest, bytes: string, ending: CutEnding): void {
  socket.write(bytes, 'latin1', () => {
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

/** Rejects the request with a 503 that states that it has not run. */
export const rejectingAsNotExecuted: Script = ({ seen, response }) => {
  response.writeHead(503, { ...attemptIdOf(seen), 'X-Not-Executed': '1' }).end();
};

/** An engine: answers prefills, and streams events from the one after `Last-Event-Id`. */
export function engine(events: number, breakAfter = Number.POSITIVE_INFINITY): Script {
  return ({ seen, response }) => {
    if (seen.headers['x-stage'] === 'prefill') {
      const body = JSON.stringify({ kvHandle: 'handle-1', tokens: 10, version: 1 });
      response.writeHead(200, attemptIdOf(seen)).end(body);
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
