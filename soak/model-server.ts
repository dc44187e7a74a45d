/**
 * Simulates the platform's servers: model engines, which prefill prompts and decode, and plain web servers. Reports each
 * arrival to the run's observer, and injects the faults that the run sets.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { PATHS } from '../platform/names.js';
import { closeListener, openListener } from '../src/lab/common/listener.js';
import type { AcceptMonitor } from './accept-monitor.js';
import { HEALTH_PATH, WIRE } from './header-names.js';
import type { ServerFault } from './plan.js';
import type { Arrival, OrderRecord, ServingSpan } from './record.js';
import { readBody } from './request-body.js';
import {
  askedStream,
  CRASHING_MARK,
  completeBody,
  eventText,
  paddingText,
} from './response-bodies.js';
import { tinyChunks } from './wire-requests.js';

const WEB_WORK_MS = 15;
const PREFILL_MS = 12;
/** Prefill time at a decode engine, which has to read the prompt itself: twice that of a prefill engine. */
const SLOW_PREFILL_MS = 24;
const STAGE_SWITCH_MS = 800;
const ORDER_DELAY_MS = 2_500;
/** With fewer slots than this, requests take proportionally longer. */
const FULL_SPEED_SLOTS = 6;
const MALFORMED_LOAD_SHARE = 0.1;
/** Share of responses with a malformed header on leaving, back-off or the limit, which daemons must ignore. */
const MALFORMED_HEADER_SHARE = 0.02;
const MALFORMED_HEADERS = [
  { [WIRE.leaving]: '0' },
  { [WIRE.leaving]: '' },
  { [WIRE.leaving]: 'true' },
  { 'Retry-After': '30' },
  { 'Retry-After': 'soon' },
  { [WIRE.limit]: 'fast' },
  { [WIRE.limit]: '-1' },
  { [WIRE.limit]: 'NaN' },
  { [WIRE.limit]: '0x10' },
  { [WIRE.limit]: '' },
  { [WIRE.limit]: '9'.repeat(400) },
] as const;
/** Statuses that no final answer has; each is followed by the body of a sound answer. */
const GARBLED_STATUSES = ['000', '099', '101', '600'] as const;
/** The statuses of answers that do not end. */
const ENDLESS_STATUSES = [200, 200, 500] as const;
/** Written each time; few enough that the answers of all servers together leave the soak's own process time. */
const ENDLESS_PIECE = tinyChunks(1_000);
const ENDLESS_INTERVAL_MS = 10;
/** What a byte that is no UTF-8 decodes to. */
const GARBLED_CHARACTER = '\ufffd';
const MILLISECONDS_PER_SECOND = 1_000;
const MAX_EVENTS_WAIT_MS = 1_000;
const KEEP_ALIVE_MS = 5_000;
/** Time from the start of a request that crashes its server until the crash. */
const CRASH_AFTER_MS = 60;
/** Share of a response that a faulty server sends before it breaks off. */
const SENT_SHARE_BEFORE_BREAK = 0.5;

export type Stage = 'prefill' | 'decode';

interface StageOrderBody {
  readonly stage: Stage;
  readonly holder: string;
  readonly fence: number;
}

/** Receives the events of all servers. */
export interface ServerObserver {
  onArrival(request: IncomingMessage, body: string, arrival: Arrival): void;
  onOrder(order: OrderRecord): void;
  /** A request that crashes its server has run for `CRASH_AFTER_MS`. */
  onCrash(serverId: string): void;
}

export interface ModelServerOptions {
  readonly service: string;
  /** Undefined for a web server. */
  readonly stage: Stage | undefined;
  /** The version of its software, until a start changes it. */
  readonly softwareVersion: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Ratio of its processing time to the typical time. */
  readonly pace: number;
  /** Time between two tokens of an engine. */
  readonly tokenMs: number;
  readonly observer: ServerObserver;
  readonly accepts: AcceptMonitor;
  readonly random: () => number;
  /** For each KV handle of any engine, the id of the request whose prompt was prefilled. */
  readonly handles: Map<string, string>;
  /** Called when an engine has changed its stage. */
  readonly onStageChange: () => void;
}

interface ActiveFault {
  readonly how: ServerFault;
  readonly share: number;
  /** The back-off period that refusals request, in ms. */
  readonly restMs: number;
}

let instances = 0;

/** How a started server differs from its previous boot. */
export type StartedAs =
  /** Under another id, as a server that replaces one that has left. */
  | 'other'
  /** Under the same id, so that only the boot time differs. */
  | 'same';

/** One server over all its boots. */
export class ModelServer {
  readonly #options: ModelServerOptions;
  #server: http.Server | undefined;
  #port = 0;
  #servesFromMs = 0;
  readonly #endedSpans: ServingSpan[] = [];
  #id = '';
  #bornMs = 0;
  #softwareVersion: string;
  #nextSoftwareVersion: string;
  /** KV handles of the current boot; a crash removes them. */
  readonly #ownHandles = new Set<string>();
  #stage: Stage | undefined;
  #isSwitching = false;
  #running = 0;
  #highestFence = 0;
  #orders = 0;
  #runs = 0;
  fault: ActiveFault | undefined;
  /** Whether each response reports that the server leaves; reset by a start. */
  isLeaving = false;
  /** Whether its health page declines work; reset by a start. */
  isDeparting = false;
  /** Ratio of the time that an engine needs for tokens and prompts to its usual time. */
  slowdown = 1;
  /** Additional time until the first token of a stream that begins. */
  firstTokenDelayMs = 0;
  /** The requests that run before others wait; undefined if it refuses them instead. */
  #queueSlots: number | undefined;
  /** Starts of the requests that wait. */
  #waiting: (() => void)[] = [];
  /** The limit in requests per second that each response reports; undefined if there is none, as after a start. */
  limit: number | undefined;

  constructor(options: ModelServerOptions) {
    this.#options = options;
    this.#stage = options.stage;
    this.#softwareVersion = options.softwareVersion;
    this.#nextSoftwareVersion = options.softwareVersion;
  }

  get id(): string {
    return this.#id;
  }

  get service(): string {
    return this.#options.service;
  }

  get stage(): Stage | undefined {
    return this.#stage;
  }

  /** Unix time in ms at which the current boot began. */
  get bornMs(): number {
    return this.#bornMs;
  }

  get softwareVersion(): string {
    return this.#softwareVersion;
  }

  /** Lets requests wait while as many run as there are slots; without slots, those that wait start. */
  setQueue(slots: number | undefined): void {
    this.#queueSlots = slots;
    this.#startWaiting();
  }

  #startWaiting(): void {
    while (!this.#mustWait()) {
      const start = this.#waiting.shift();
      if (start === undefined) return;
      start();
    }
  }

  #mustWait(): boolean {
    return this.#queueSlots !== undefined && this.#running >= this.#queueSlots;
  }

  /** Installs another software version, which the next start runs. */
  install(softwareVersion: string): void {
    this.#nextSoftwareVersion = softwareVersion;
  }

  get slots(): number {
    return this.#options.slots;
  }

  get isUp(): boolean {
    return this.#server !== undefined;
  }

  get port(): number {
    return this.#port;
  }

  async start(startedAs: StartedAs = 'other'): Promise<void> {
    if (startedAs === 'other' || this.#id === '') {
      instances += 1;
      this.#id = `${this.#options.service}-${instances}`;
    }
    this.#softwareVersion = this.#nextSoftwareVersion;
    this.#bornMs = Math.max(this.#bornMs + 1, Date.now());
    this.#orders = 0;
    this.isLeaving = false;
    this.isDeparting = false;
    this.limit = undefined;
    this.#stage = this.#options.stage;
    this.#isSwitching = false;
    this.#highestFence = 0;
    const server = http.createServer((request, response) => void this.#serve(request, response));
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#options.accepts.watch(server);
    const { port } = await openListener(server, { address: '127.0.0.1', port: this.#port });
    this.#port = port;
    this.#server = server;
    this.#servesFromMs = performance.now();
  }

  /** Stops at once and closes all open connections. */
  crash(): void {
    if (this.#server !== undefined) {
      this.#endedSpans.push(this.#servingSpan(performance.now()));
      void closeListener(this.#server);
    }
    this.#server = undefined;
    this.#running = 0;
    this.#waiting = [];
    for (const handle of this.#ownHandles) this.#options.handles.delete(handle);
    this.#ownHandles.clear();
  }

  /** The times in which it served, over all boots. */
  get servingSpans(): readonly ServingSpan[] {
    const current = this.isUp ? [this.#servingSpan(Number.POSITIVE_INFINITY)] : [];
    return [...this.#endedSpans, ...current];
  }

  #servingSpan(toMs: number): ServingSpan {
    const fromMs = this.#servesFromMs;
    return { serverId: this.#id, softwareVersion: this.#softwareVersion, fromMs, toMs };
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const atMs = performance.now();
    const acceptWaitMs = this.#options.accepts.takeWaitMs(request.socket);
    response.on('error', () => response.destroy());
    const body = await readBody(request);
    if (body === undefined) return;
    const path = request.url ?? '/';
    if (path === HEALTH_PATH) return this.#health(response);
    if (path === PATHS.report) return this.#report(response);
    if (path === PATHS.order) return this.#order(body, response);
    if (path.startsWith(PATHS.kvEvents)) return this.#cacheEvents(response);
    if (path.startsWith(PATHS.kvHandle)) return this.#freeHandle(path, response);
    this.#handleRequest(request, body, response, { atMs, acceptWaitMs });
  }

  #health(response: ServerResponse): void {
    const status = this.isDeparting ? 503 : 200;
    response
      .writeHead(status, { [WIRE.instanceId]: this.#id, ...this.#availabilityHeaders() })
      .end();
  }

  #handleRequest(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
    times: Pick<Arrival, 'atMs' | 'acceptWaitMs'>,
  ): void {
    const arrival: Arrival = {
      ...times,
      serverId: this.#id,
      service: this.#options.service,
      step: request.headers[WIRE.stage] === 'prefill' ? 'prefill' : 'run',
      isStarted: false,
      problem: '',
      endedMs: undefined,
      isServerFault: false,
      hasCrashedServer: false,
      reportedLeaving: this.isLeaving,
      requestedBackOffMs: undefined,
      reportedLimit: this.limit !== undefined,
      isMisdirected: request.headers[WIRE.expectInstance] !== this.#id,
      stamp: undefined,
    };
    this.#options.observer.onArrival(request, body, arrival);
    const refusal = this.#refusalOf(request, arrival);
    if (refusal !== undefined) {
      arrival.endedMs = times.atMs;
      if (refusal === 'rest') arrival.requestedBackOffMs = this.fault?.restMs;
      const backOff = backOffHeader(arrival.requestedBackOffMs);
      const leaving = this.#leavingHeader();
      const limit = refusal === 421 ? {} : this.#limitHeader();
      const reported = { ...this.#loadHeader(), ...leaving, ...limit, ...backOff };
      const head = { ...attemptIdHeader(request), ...reported, [WIRE.notExecuted]: '1' };
      response.writeHead(refusal === 'rest' ? 503 : refusal, head).end();
      return;
    }
    if (this.#stage !== undefined && this.#mustWait()) {
      response.once('close', () => (arrival.endedMs ??= performance.now()));
      this.#waiting.push(() => {
        if (!response.destroyed) this.#start(request, body, response, arrival);
      });
    } else this.#start(request, body, response, arrival);
  }

  #start(request: IncomingMessage, body: string, response: ServerResponse, arrival: Arrival): void {
    arrival.isStarted = true;
    arrival.startedMs = performance.now();
    this.#running += 1;
    const bornMs = this.#bornMs;
    const end = () => {
      if (arrival.endedMs !== undefined) return;
      arrival.endedMs = performance.now();
      if (this.#bornMs !== bornMs) return;
      this.#running = Math.max(0, this.#running - 1);
      this.#startWaiting();
    };
    response.once('close', end);
    if (arrival.step === 'prefill') this.#prefill(request, response, end);
    else if (body.startsWith(CRASHING_MARK)) this.#crashDuring(request, response, arrival);
    else this.#run(request, body, response, arrival, end);
  }

  /**
   * The status of a refusal, which states that the request has not run; `rest` for a 503 that requests a back-off
   * period.
   */
  #refusalOf(request: IncomingMessage, arrival: Arrival): number | 'rest' | undefined {
    const { headers } = request;
    if (headers[WIRE.expectInstance] !== this.#id) return 421;
    if (this.#isSwitching) return 503;
    if (this.#stage !== undefined && (arrival.step === 'prefill') !== (this.#stage === 'prefill')) {
      return 421;
    }
    if (this.#shouldInject('ask-for-rest')) return 'rest';
    if (this.#shouldInject('turn-away') || this.#running >= this.slots) return 503;
    const source = headers[WIRE.kvSource];
    if (typeof source !== 'string') return undefined;
    const handle = source.slice(source.indexOf('/') + 1);
    const prefilledFor = this.#options.handles.get(handle);
    this.#options.handles.delete(handle);
    if (prefilledFor === undefined) return 503;
    if (prefilledFor !== headers[WIRE.attemptId]) arrival.problem = "another request's memory";
    return undefined;
  }

  #shouldInject(how: ServerFault): boolean {
    return this.fault?.how === how && this.#options.random() < this.fault.share;
  }

  #prefill(request: IncomingMessage, response: ServerResponse, end: () => void): void {
    setTimeout(
      () => {
        if (response.destroyed) return;
        end();
        const garbled = this.#shouldInject('garble') ? GARBLED_CHARACTER : '';
        const drawn = Math.floor(this.#options.random() * Number.MAX_SAFE_INTEGER);
        const kvHandle = `h${garbled}${drawn}`;
        this.#options.handles.set(kvHandle, String(request.headers[WIRE.attemptId]));
        this.#ownHandles.add(kvHandle);
        const body = JSON.stringify({ kvHandle, tokens: 10, version: 1 });
        response
          .writeHead(200, { ...attemptIdHeader(request), ...this.#availabilityHeaders() })
          .end(body);
      },
      PREFILL_MS * this.#options.pace * this.slowdown,
    );
  }

  #run(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
    arrival: Arrival,
    end: () => void,
  ): void {
    if (this.#shouldInject('lose-answer')) {
      arrival.isServerFault = true;
      setTimeout(() => response.destroy(), this.#webWorkMs);
      return;
    }
    this.#runs += 1;
    const stamp = `${this.#id}.${this.#runs}`;
    if (this.#shouldInject('answer-without-end')) {
      arrival.isServerFault = true;
      arrival.stamp = stamp;
      this.#answerWithoutEnd(request, response, stamp);
      return;
    }
    if (this.#shouldInject('fail')) {
      setTimeout(() => {
        if (response.destroyed) return;
        end();
        arrival.stamp = stamp;
        const head = {
          ...attemptIdHeader(request),
          ...this.#availabilityHeaders(),
          [WIRE.stamp]: stamp,
        };
        response.writeHead(500, head).end('failed');
      }, this.#webWorkMs);
      return;
    }
    if (this.#stage === undefined) this.#answerComplete(request, response, arrival, stamp, end);
    else this.#stream(request, body, response, arrival, stamp, end);
  }

  #answerWithoutEnd(request: IncomingMessage, response: ServerResponse, stamp: string): void {
    const index = Math.floor(this.#options.random() * ENDLESS_STATUSES.length);
    const type = this.#stage === undefined ? 'text/plain' : 'text/event-stream';
    response.writeHead(ENDLESS_STATUSES[index] ?? 200, {
      ...attemptIdHeader(request),
      [WIRE.stamp]: stamp,
      'Content-Type': type,
      'Transfer-Encoding': 'chunked',
    });
    response.flushHeaders();
    const { socket } = request;
    const timer = setInterval(() => {
      if (!socket.writableNeedDrain) socket.write(ENDLESS_PIECE);
    }, ENDLESS_INTERVAL_MS);
    response.once('close', () => clearInterval(timer));
  }

  /** Starts a normal response, then crashes the server with all its requests. */
  #crashDuring(request: IncomingMessage, response: ServerResponse, arrival: Arrival): void {
    const ownId = this.#id;
    const bornMs = this.#bornMs;
    if (this.#stage !== undefined) {
      const type = { 'Content-Type': 'text/event-stream' };
      response.writeHead(200, {
        ...attemptIdHeader(request),
        [WIRE.stamp]: `${ownId}.ends`,
        ...type,
      });
      response.write('id: 1\nda');
    }
    setTimeout(() => {
      // A request that its daemon has cancelled crashes nothing.
      if (response.destroyed || !this.isUp || this.#bornMs !== bornMs) return;
      arrival.hasCrashedServer = true;
      arrival.isServerFault = true;
      this.#options.observer.onCrash(ownId);
    }, CRASH_AFTER_MS);
  }

  #answerComplete(
    request: IncomingMessage,
    response: ServerResponse,
    arrival: Arrival,
    stamp: string,
    end: () => void,
  ): void {
    const breaksOff = this.#shouldInject('break-off');
    const sendsTwice = this.#shouldInject('answer-twice');
    const isGarbled = this.#shouldInject('garble');
    setTimeout(() => {
      if (response.destroyed) return;
      if (isGarbled) {
        arrival.isServerFault = true;
        this.#sendGarbled(request);
        return;
      }
      arrival.stamp = stamp;
      const body = completeBody(String(request.headers[WIRE.attemptId]), stamp);
      const head = {
        ...attemptIdHeader(request),
        [WIRE.stamp]: stamp,
        'Content-Length': body.length,
      };
      arrival.reportedLeaving = this.isLeaving;
      arrival.reportedLimit = this.limit !== undefined;
      response.writeHead(200, { ...head, ...this.#availabilityHeaders(), ...this.#loadHeader() });
      if (breaksOff) {
        arrival.isServerFault = true;
        response.write(body.slice(0, Math.floor(body.length * SENT_SHARE_BEFORE_BREAK)), () =>
          response.destroy(),
        );
        return;
      }
      end();
      response.end(body);
      if (sendsTwice) sendSurplusAnswer(request, stamp);
    }, this.#webWorkMs);
  }

  #sendGarbled(request: IncomingMessage): void {
    const index = Math.floor(this.#options.random() * GARBLED_STATUSES.length);
    const id = String(request.headers[WIRE.attemptId]);
    const head = [`HTTP/1.1 ${GARBLED_STATUSES[index]} OK`, `${WIRE.attemptId}: ${id}`];
    request.socket.end(
      [...head, `${WIRE.stamp}: none`, 'Content-Length: 2', '', 'no'].join('\r\n'),
    );
  }

  /** Processing time of a web server. Servers with few slots are slower, so that their slots run out. */
  get #webWorkMs(): number {
    const { slots, pace } = this.#options;
    return WEB_WORK_MS * pace * Math.max(1, FULL_SPEED_SLOTS / slots);
  }

  /** The load header of a web server; in a share of responses it is malformed. */
  #loadHeader(): Record<string, string> {
    if (this.#stage !== undefined) return {};
    const isMalformed = this.#options.random() < MALFORMED_LOAD_SHARE;
    const load = `${this.#running},0,${this.slots},${Math.round(100 * this.#options.pace)}`;
    return { [WIRE.load]: isMalformed ? `${load},many` : load };
  }

  #stream(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
    arrival: Arrival,
    stamp: string,
    end: () => void,
  ): void {
    const id = String(request.headers[WIRE.attemptId]);
    const announced = Number(String(request.headers[WIRE.tokenCount]).split(',')[1]) || 1;
    const { tokens: events = announced, paddingBytes } = askedStream(body);
    const padding = paddingText(paddingBytes);
    const { tokenMs } = this.#options;
    const first = Number(request.headers[WIRE.lastEventId] ?? 0) + 1;
    const breaksAt = this.#shouldInject('break-off')
      ? first + Math.floor((events - first + 1) * SENT_SHARE_BEFORE_BREAK)
      : Number.POSITIVE_INFINITY;
    const garblesAt = this.#shouldInject('garble') ? first + 1 : Number.POSITIVE_INFINITY;
    const hasKvSource = request.headers[WIRE.kvSource] !== undefined;
    let next = first;
    const sendNext = () => {
      if (response.destroyed) return;
      if (!response.headersSent) {
        arrival.stamp = stamp;
        arrival.reportedLeaving = this.isLeaving;
        arrival.reportedLimit = this.limit !== undefined;
        const type = { 'Content-Type': 'text/event-stream', ...this.#availabilityHeaders() };
        response.writeHead(200, { ...attemptIdHeader(request), [WIRE.stamp]: stamp, ...type });
      }
      if (next >= breaksAt) {
        arrival.isServerFault = true;
        response.write(`id: ${next}\nda`, () => response.destroy());
        return;
      }
      if (next === garblesAt) {
        arrival.isServerFault = true;
        response.write(`id: ${next}\u0001\n\n`, () => response.destroy());
        return;
      }
      if (next > events) {
        end();
        response.end();
        return;
      }
      response.write(padding + eventText(id, next, events, this.#softwareVersion));
      next += 1;
      setTimeout(sendNext, tokenMs * this.slowdown);
    };
    const firstTokenMs = hasKvSource ? tokenMs : SLOW_PREFILL_MS * this.#options.pace;
    setTimeout(sendNext, firstTokenMs * this.slowdown + this.firstTokenDelayMs);
  }

  #report(response: ServerResponse): void {
    const report = {
      stage: this.#stage ?? 'decode',
      busy: this.#isSwitching,
      sequence: this.#orders,
      running: this.#running,
      born: this.#bornMs,
    };
    const head = { 'Content-Type': 'application/json', ...this.#availabilityHeaders() };
    response.writeHead(200, head).end(JSON.stringify(report));
  }

  #order(body: string, response: ServerResponse): void {
    const order = JSON.parse(body) as StageOrderBody;
    if (this.#shouldInject('delay-orders')) {
      const orderedAtBootMs = this.#bornMs;
      setTimeout(() => {
        if (this.#bornMs === orderedAtBootMs && this.isUp) this.#executeOrder(order);
      }, ORDER_DELAY_MS);
      response.destroy();
      return;
    }
    response.writeHead(this.#executeOrder(order) ? 202 : 409, this.#availabilityHeaders()).end();
  }

  /** @returns false if an order with a higher fence came before */
  #executeOrder(order: StageOrderBody): boolean {
    const { holder, fence } = order;
    this.#options.observer.onOrder({
      serverId: this.#id,
      holder,
      fence,
      atMs: performance.now(),
    });
    if (fence < this.#highestFence) return false;
    this.#highestFence = fence;
    this.#orders += 1;
    if (order.stage === this.#stage) return true;
    this.#isSwitching = true;
    const orderedAtBootMs = this.#bornMs;
    setTimeout(() => {
      if (this.#bornMs !== orderedAtBootMs || !this.isUp) return;
      this.#isSwitching = false;
      this.#stage = order.stage;
      this.#options.onStageChange();
    }, STAGE_SWITCH_MS);
    return true;
  }

  #cacheEvents(response: ServerResponse): void {
    const answer = JSON.stringify({
      epoch: `${this.#id} ${this.#bornMs}`,
      nextToken: 0,
      lost: false,
      events: [],
    });
    const timer = setTimeout(
      () =>
        response
          .writeHead(200, { 'Content-Type': 'application/json', ...this.#availabilityHeaders() })
          .end(answer),
      MAX_EVENTS_WAIT_MS,
    );
    response.once('close', () => clearTimeout(timer));
  }

  #freeHandle(path: string, response: ServerResponse): void {
    this.#options.handles.delete(path.slice(PATHS.kvHandle.length));
    response.writeHead(200, this.#availabilityHeaders()).end();
  }

  #leavingHeader(): Record<string, string> {
    return this.isLeaving ? { [WIRE.leaving]: '1' } : {};
  }

  #limitHeader(): Record<string, string> {
    return this.limit === undefined ? {} : { [WIRE.limit]: String(this.limit) };
  }

  /**
   * Headers of each response on the server itself: that it leaves and its limit, or in a share of responses a
   * malformed one.
   */
  #availabilityHeaders(): Record<string, string> {
    if (this.isLeaving || this.limit !== undefined) {
      return { ...this.#leavingHeader(), ...this.#limitHeader() };
    }
    if (this.#options.random() >= MALFORMED_HEADER_SHARE) return {};
    return MALFORMED_HEADERS[Math.floor(this.#options.random() * MALFORMED_HEADERS.length)] ?? {};
  }
}

function backOffHeader(restMs: number | undefined): Record<string, string> {
  return restMs === undefined ? {} : { 'Retry-After': String(restMs / MILLISECONDS_PER_SECOND) };
}

function attemptIdHeader(request: IncomingMessage): Record<string, string> {
  const id = request.headers[WIRE.attemptId];
  return id === undefined ? {} : { 'X-Attempt-Id': String(id) };
}

/** Sends a second complete response on the same connection, as a faulty server may do. */
function sendSurplusAnswer(request: IncomingMessage, stamp: string): void {
  const id = String(request.headers[WIRE.attemptId]);
  const body = completeBody(id, stamp);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    `${WIRE.stamp}: ${stamp}`,
    `Content-Length: ${body.length}`,
  ];
  if (!request.socket.destroyed) request.socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
}
