/** A stand-in of a model server: streams events, takes no orders beyond its pages, and may be run as a process of its own. */
import http from 'node:http';

/**
 * A sound decode server.
 * @param gapMs the pause between two events
 * @param onRun called with what became of each request
 * @param isUnframed whether the next answer carries no length and finishes with its connection
 */
export class Engine {
  #server;
  #runs = 0;
  id;
  port = 0;

  constructor({
    id,
    stage = 'decode',
    gapMs = 100,
    onRun = () => undefined,
    isUnframed = () => false,
  }) {
    this.id = id;
    this.options = { stage, gapMs, onRun, isUnframed };
    this.#server = http.createServer((request, response) => this.#serve(request, response));
  }

  async open() {
    await new Promise((done) => this.#server.listen(0, '127.0.0.1', done));
    this.port = this.#server.address().port;
    return this.port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #serve(request, response) {
    response.on('error', () => response.destroy());
    request.resume();
    request.on('end', () => this.#answer(request, response));
  }

  #answer(request, response) {
    const { url = '/', headers } = request;
    const id = headers['x-attempt-id'];
    if (url === '/health') return response.writeHead(200, { 'X-Instance-Id': this.id }).end();
    if (url === '/report') return this.#report(response);
    if (url.startsWith('/kv-events')) return this.#events(request, response);
    if (url.startsWith('/kv-handle/')) return response.writeHead(200).end();
    if (id === undefined) return response.writeHead(400, { 'X-Not-Executed': '1' }).end();
    if (headers['x-expect-instance'] !== this.id || headers['x-stage'] !== undefined) {
      return response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1' }).end();
    }
    this.#stream(id, request, response);
  }

  #report(response) {
    const models = [{ name: 'm', version: 1, adapters: [] }];
    const { stage } = this.options;
    const body = { stage, models, busy: false, sequence: 0, waiting: 0, running: 0 };
    response
      .writeHead(200, { 'Content-Type': 'application/json' })
      .end(JSON.stringify({ ...body, kvUsed: 0, kvTotal: 495255, kvHandles: 0 }));
  }

  #events(request, response) {
    const waitMs = Math.min(1000, Number(request.headers['wait-ms'] ?? 0));
    const body = JSON.stringify({ epoch: this.id, nextToken: 0, lost: false, events: [] });
    setTimeout(() => response.writeHead(200).end(body), waitMs);
  }

  #stream(id, request, response) {
    const { gapMs, onRun, isUnframed } = this.options;
    const [, tokens = '10'] = String(request.headers['x-token-count'] ?? '').split(',');
    const events = eventsOf(id, Number(tokens));
    const first = Number(request.headers['last-event-id'] ?? 0);
    const unframed = isUnframed(request);
    this.#runs += 1;
    const head = {
      'X-Attempt-Id': id,
      'X-Response-Stamp': `${this.id}.${this.#runs}`,
      'X-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    };
    if (unframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    onRun({ server: this.id, id, from: first, events: events.length, unframed });
    let next = first;
    const send = () => {
      if (response.destroyed) return onRun({ server: this.id, id, cutAfter: next });
      if (next === first) response.writeHead(200, head);
      if (next < events.length) response.write(events[next]);
      next += 1;
      if (next < events.length) return setTimeout(send, gapMs);
      response.end();
      onRun({ server: this.id, id, whole: true });
    };
    setTimeout(send, gapMs);
  }
}

/** The events of a request's stream, which the client knows as well as the server. */
export function eventsOf(id, count) {
  return Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`,
  );
}
