/** Stand-ins of the platform's servers: a web server and a model server with a stage. Each reports to `record`. */
import http from 'node:http';

const HEARTBEAT_MS = 1_200;
const READ_MS = 25;
const EVENT_MS = 12;
const EVENTS = 6;
const WORK_MS = 30;
const hex = (digits) =>
  Array.from({ length: digits }, () => Math.floor(Math.random() * 16).toString(16)).join('');

class Server {
  /** Decides on each answer to a request whether it is spoiled; undefined for a sound server. */
  spoil = undefined;
  slots = 32;
  running = 0;

  constructor(service, zone, store, record) {
    Object.assign(this, { service, zone, store, record, id: `i-${hex(10)}` });
  }

  async start(port = 0) {
    this.server = http.createServer((request, response) => {
      response.on('error', () => response.destroy());
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#serve(request, response));
    });
    this.server.keepAliveTimeout = 5_000;
    await new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.sequence = 0;
    this.written = undefined;
    this.beat();
    this.beats = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Its process ends: the system closes its connections and its port. Its entry lapses after three heartbeats. */
  crash() {
    this.stop();
    setTimeout(() => this.store.remove('servers', this.id), 3 * HEARTBEAT_MS);
  }

  /** Starts again, as another incarnation at the same address. */
  async restart() {
    this.id = `i-${hex(10)}`;
    this.running = 0;
    await this.start(Number(this.address.split(':')[1]));
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
    };
  }

  /** The entry counts as changed only when more than `sequence` does, so other beats are not written. */
  beat() {
    this.sequence += 1;
    const entry = this.entry();
    const text = JSON.stringify(entry);
    if (text === this.written) return;
    this.written = text;
    this.store.put('servers', this.id, { ...entry, sequence: this.sequence });
  }

  #serve(request, response) {
    if (request.url === '/health') {
      return response.writeHead(200, { 'X-Instance-Id': this.id }).end();
    }
    if (this.ownCall(request, response)) return;
    const id = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return response.writeHead(421, { 'X-Attempt-Id': id, 'X-Instance-Id': this.id }).end();
    }
    if (this.running >= this.slots) {
      return response.writeHead(503, { 'X-Attempt-Id': id, 'X-Not-Executed': '1' }).end();
    }
    this.running += 1;
    let isOpen = true;
    response.once('close', () => {
      isOpen = false;
      this.running -= 1;
    });
    this.run(request, response, id, () => isOpen);
  }

  ownCall() {
    return false;
  }

  head(id) {
    return { 'X-Attempt-Id': id, 'X-Response-Stamp': `${this.id}.${hex(8)}` };
  }
}

/** A web server: works for some time and answers with a body of 800 bytes. */
export class WebServer extends Server {
  slots = 12;
  workMs = WORK_MS;

  run(request, response, id, isOpen) {
    this.record('run', { id, server: this.id, method: request.method, path: request.url });
    setTimeout(() => {
      if (!isOpen()) return;
      const body = Buffer.alloc(800, 'w');
      if (this.spoil?.(this, { id, response, body }) === true) return;
      response
        .writeHead(200, { ...this.head(id), 'Content-Length': String(body.length) })
        .end(body);
    }, this.workMs);
  }
}

/** A model server of one stage. */
export class Engine extends Server {
  handles = new Set();
  orders = 0;
  /** Events of a stream, and the share of streams that carry no length and end with their connection. */
  events = EVENTS;
  eventMs = EVENT_MS;
  unframedShare = 0;

  constructor(service, zone, store, record, stage) {
    super(service, zone, store, record);
    this.stage = stage;
  }

  entry() {
    const models = [{ name: 'm', version: 1, adapters: [] }];
    return { ...super.entry(), stage: this.stage, models };
  }

  ownCall(request, response) {
    const json = (document) =>
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(document));
    if (request.url === '/report') {
      json({
        stage: this.stage,
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: this.orders,
        waiting: 0,
        running: this.running,
        kvUsed: 0,
        kvTotal: 442_678,
        kvHandles: this.handles.size,
      });
    } else if (request.url.startsWith('/kv-events')) {
      setTimeout(
        () => json({ epoch: this.id, nextToken: 0, lost: false, events: [] }),
        Math.min(1_000, Number(request.headers['wait-ms'] ?? 0)),
      );
    } else if (request.url.startsWith('/kv-handle/')) {
      this.handles.delete(decodeURIComponent(request.url.slice('/kv-handle/'.length)));
      response.writeHead(200).end();
    } else if (request.url === '/order') {
      // The stand-in keeps its stage, so that the shape of the fleet stays the same over a run.
      response.writeHead(409).end();
    } else {
      return false;
    }
    return true;
  }

  run(request, response, id, isOpen) {
    const isPrefill = request.headers['x-stage'] === 'prefill';
    if (isPrefill !== (this.stage === 'prefill') && isPrefill) {
      return response.writeHead(421, { 'X-Attempt-Id': id, 'X-Instance-Id': this.id }).end();
    }
    const after = request.headers['last-event-id'];
    this.record(isPrefill ? 'prefill' : 'run', { id, server: this.id, after });
    if (isPrefill) setTimeout(() => isOpen() && this.#endPrefill(response, id), READ_MS);
    else this.#stream(request, response, id, isOpen);
  }

  head(id) {
    return { ...super.head(id), 'X-Weight-Versions': '1' };
  }

  #endPrefill(response, id) {
    const kvHandle = hex(12);
    this.handles.add(kvHandle);
    const body = Buffer.from(JSON.stringify({ kvHandle, tokens: 1460, version: 1 }));
    if (this.spoil?.(this, { id, response, body }) === true) return;
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'X-Attempt-Id': id,
        'X-Weight-Versions': '1',
        'Content-Length': String(body.length),
      })
      .end(body);
  }

  #stream(request, response, id, isOpen) {
    const reads = request.headers['x-kv-source'] === undefined ? 2 : 0;
    let event = Number(request.headers['last-event-id'] ?? 0);
    const next = () => {
      if (!isOpen()) return;
      if (!response.headersSent) this.#begin(response, id);
      event += 1;
      response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`);
      if (event < this.events) setTimeout(next, this.eventMs);
      else response.end();
    };
    setTimeout(next, this.eventMs + reads * READ_MS);
  }

  #begin(response, id) {
    if (Math.random() < this.unframedShare) {
      this.record('unframed', { id, server: this.id });
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, { ...this.head(id), 'Content-Type': 'text/event-stream' });
  }
}
