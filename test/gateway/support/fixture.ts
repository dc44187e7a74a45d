/** A gateway over real sockets, with a fake store and fake servers that tests script. */

import { once } from 'node:events';
import http from 'node:http';
import { connect } from 'node:net';
import { createPlatformAdapter } from '../../../platform/index.js';
import { GATEWAY_EVENTS } from '../../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../../src/core/logging/log-event.js';
import { ANSWER_READING } from '../../../src/shell/bytes/index.js';
import {
  DEFAULT_LOAD_DECISIONS,
  Gateway,
  type GatewayAddresses,
  GatewayLog,
  type GatewaySettings,
  SYSTEM_TIMERS,
  type TimerService,
} from '../../../src/shell/gateway/index.js';
import type { ServerLinks } from './server-links.js';
import { type Script, ServerStandIn } from './server-stand-in.js';
import { type StoreEntrance, StoreStandIn } from './store-stand-in.js';

const HOST = 'labels.example';

/** The path at which servers tell whether they accept work. */
export const HEALTH_PATH = '/health';

/** A log line of a gateway. */
export interface LoggedLine {
  /** The daemon that logged it. */
  readonly daemon: string;
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** An answer as a caller received it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived completely. */
  readonly isComplete: boolean;
}

/** A caller's request. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** The port of the daemon to send it to; the first daemon by default. */
  readonly port?: number | undefined;
}

/** What a daemon of the fixture reaches in ways of its own. */
export interface DaemonPaths {
  /** Its paths to the servers; undefined where it reaches them directly. */
  readonly links?: Pick<ServerLinks, 'adapt'> | undefined;
  /** Its address of the store; undefined where it shares the first daemon's. */
  readonly entrance?: StoreEntrance | undefined;
}

/** Options of one gateway of the fixture. */
interface GatewayOptions extends DaemonPaths {
  readonly name: string;
  readonly timers: TimerService;
  readonly retryBudget: GatewaySettings['retryBudget'];
  /** Whether it exchanges messages with other daemons. */
  readonly hasPeers: boolean;
  readonly decisions: GatewaySettings['decisions'];
}

const FIRST_DAEMON = 'front-1';
/** Allows as many retries per request as any test needs. */
const AMPLE_BUDGET = { ratio: 4, slack: 240 };

/** A route of the configuration; fields default to those of a plain web route. */
export function route(fields: Record<string, unknown>): Record<string, unknown> {
  return {
    name: 'tiles',
    host: HOST,
    pathPrefix: '/tiles/',
    kind: 'non_idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
    attempts: 1,
    service: 'viewer',
    ...fields,
  };
}

/** A route to model engines whose streams may be resumed at a second one. */
export const RESUMABLE_ROUTE = route({
  name: 'check',
  pathPrefix: '/check/',
  kind: 'streaming',
  service: 'reader',
  resumable: true,
  attempts: 2,
  timeoutMs: 5_000,
});

/** A route to model engines whose streams may not be resumed. */
export const READ_ROUTE = route({
  name: 'read',
  pathPrefix: '/read/',
  kind: 'streaming',
  service: 'reader',
  timeoutMs: 5_000,
  targetLatencyMs: 500,
});

/** A request whose prompt is long enough for a separate prefill engine; its route is `READ_ROUTE`. */
export const LONG_REQUEST = {
  path: '/read/1',
  headers: {
    'X-Model': 'm',
    'X-Token-Count': '17000,10',
    'X-Prompt-Prefix': 'aa:13000,bb:4000',
  },
};

/** A request whose prompt the decode engine prefills itself; its route is `RESUMABLE_ROUTE`. */
export const SHORT_REQUEST = {
  path: '/check/1',
  headers: { 'X-Model': 'm', 'X-Token-Count': '300,4', 'X-Prompt-Prefix': 'cc:300' },
};

/**
 * A configuration with the given routes.
 * @param tenants undefined where requests need no API key
 */
export function configuration(
  version: number,
  routes: readonly unknown[],
  tenants?: readonly unknown[],
): unknown {
  const engineTraits = {
    slots: 8,
    kvTokens: 100_000,
    kvTokenBytes: 1_000,
    linkMbps: 100_000,
    most: 12,
  };
  return {
    version,
    routes,
    tenants,
    services: [
      { name: 'viewer', maxConnections: 100, healthPath: HEALTH_PATH },
      { name: 'reader', maxConnections: 100, engine: engineTraits, healthPath: HEALTH_PATH },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Gateways with their store and servers. */
export class GatewayFixture {
  /** How far the machine's time of day was set ahead. */
  clockStepMs = 0;
  readonly store = new StoreStandIn();
  readonly lines: LoggedLine[] = [];
  readonly #servers: ServerStandIn[] = [];
  readonly #lineWaiters = new Set<() => void>();
  readonly #gateways = new Map<string, Gateway>();
  readonly #forwardPorts = new Map<string, number | undefined>();
  #storeAddress: { readonly host: string; readonly port: number } | undefined;
  callersPort = 0;
  readinessPort = 0;

  /**
   * @param timers real time unless a test controls it
   * @param retryBudget the retry budget of the whole fleet
   * @param decisions the load decisions that are switched on
   */
  async start(
    timers: TimerService = SYSTEM_TIMERS,
    retryBudget: GatewaySettings['retryBudget'] = AMPLE_BUDGET,
    decisions: GatewaySettings['decisions'] = DEFAULT_LOAD_DECISIONS,
  ): Promise<void> {
    const options = { name: FIRST_DAEMON, timers, retryBudget, hasPeers: false, decisions };
    const addresses = await this.#startGateway(options);
    this.callersPort = addresses.callersPort;
    this.readinessPort = addresses.readinessPort;
  }

  /** Starts one more daemon, which exchanges messages with the others; returns its port for callers. */
  async addDaemon(
    name: string,
    timers: TimerService = SYSTEM_TIMERS,
    paths: DaemonPaths = {},
  ): Promise<number> {
    const options = {
      name,
      timers,
      retryBudget: AMPLE_BUDGET,
      hasPeers: true,
      decisions: DEFAULT_LOAD_DECISIONS,
      ...paths,
    };
    const { callersPort } = await this.#startGateway(options);
    await this.logged(GATEWAY_EVENTS.fingerprintKeyRead, (_fields, daemon) => daemon === name);
    return callersPort;
  }

  async #startGateway(options: GatewayOptions): Promise<GatewayAddresses> {
    const { name, timers, retryBudget, hasPeers, decisions, links } = options;
    this.store.timers ??= options.timers;
    this.#storeAddress ??= await this.store.start();
    const store = options.entrance ?? this.#storeAddress;
    const settings: GatewaySettings = {
      name,
      zone: 'a',
      listen: {
        callers: { host: '127.0.0.1', port: 0 },
        readiness: { host: '127.0.0.1', port: 0 },
        metrics: undefined,
        peers: hasPeers ? { host: '127.0.0.1', port: 0 } : undefined,
      },
      store,
      bounds: { contactMs: 3_000, stopGraceSeconds: 8, leaseMs: 3_000, drainMs: 2_000 },
      retryBudget,
      logging: { maxLinesPerSecond: 10_000 },
      decisions,
    };
    const logger = {
      write: (event: LogEvent, fields: LogFields = {}) =>
        this.#recordLine({ daemon: name, event, fields }),
      flush: () => undefined,
    };
    const adapter = createPlatformAdapter(ANSWER_READING, store);
    const gateway = new Gateway({
      build: 'test',
      settings,
      adapter: links?.adapt(adapter) ?? adapter,
      timers,
      wallClock: () => timers.nowMs() + this.clockStepMs,
      log: new GatewayLog(logger, timers, settings.logging.maxLinesPerSecond),
    });
    this.#gateways.set(name, gateway);
    const addresses = await gateway.start();
    if (addresses === undefined) throw new Error(`${name} was stopped before it listened`);
    this.#forwardPorts.set(name, addresses.forwardPort);
    return addresses;
  }

  /** Stops everything; to be called by every test. */
  stop(): void {
    for (const gateway of this.#gateways.values()) gateway.abort();
    for (const server of this.#servers) server.stop();
    this.store.stop();
  }

  get gateway(): Gateway {
    const [first] = this.#gateways.values();
    if (first === undefined) throw new Error('start the fixture first');
    return first;
  }

  /** Begins to stop a daemon as a signal does; resolves once it has stopped. */
  stopDaemon(name: string): Promise<void> {
    return this.#gateways.get(name)?.stop() ?? Promise.resolve();
  }

  /** Stops a daemon at once, as a crash does. */
  abortDaemon(name: string): void {
    this.#gateways.get(name)?.abort();
  }

  /** The port at which a daemon takes forwarded requests. */
  forwardPortOf(name: string): number | undefined {
    return this.#forwardPorts.get(name);
  }

  /** Starts a server and puts it in the server list. */
  async addServer(id: string, script: Script, fields: object = {}): Promise<ServerStandIn> {
    const server = new ServerStandIn(script);
    await server.start();
    this.#servers.push(server);
    this.listServer(id, server, fields);
    return server;
  }

  listServer(id: string, server: ServerStandIn, fields: object = {}): void {
    const { address } = server;
    const row = { service: 'viewer', address, zone: 'a', slots: 6, state: 'ready', sequence: 1 };
    this.store.putServer(id, { ...row, ...fields });
  }

  /** Resolves once a matching line has been logged, including before the call. */
  async logged(
    event: LogEvent,
    matches: (fields: LogFields, daemon: string) => boolean = () => true,
  ): Promise<void> {
    const isLogged = () =>
      this.lines.some((line) => line.event === event && matches(line.fields, line.daemon));
    while (!isLogged()) await new Promise<void>((resolve) => this.#lineWaiters.add(resolve));
  }

  async call(request: CallerRequest): Promise<CallerAnswer> {
    // A daemon accepts no requests before it has read the crash table.
    await this.logged(GATEWAY_EVENTS.crashTableRead);
    const sent = this.open(request);
    const [response] = (await once(sent, 'response')) as [http.IncomingMessage];
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', () => undefined);
    await new Promise((resolve) => response.once('close', resolve));
    return {
      status: response.statusCode ?? 0,
      headers: response.headers,
      body: Buffer.concat(chunks).toString('utf8'),
      isComplete: response.complete,
    };
  }

  /** Sends a request without waiting for its answer. */
  open(request: CallerRequest): http.ClientRequest {
    const sent = http.request({
      host: '127.0.0.1',
      port: request.port ?? this.callersPort,
      method: request.method ?? 'POST',
      path: request.path,
      agent: false,
      headers: { Host: HOST, 'X-Attempt-Id': 'attempt-1', ...request.headers },
    });
    sent.end(request.body ?? '');
    return sent;
  }

  /** Sends the lines of a request's head as they are, and returns everything received. */
  async callRaw(head: readonly string[]): Promise<string> {
    const socket = connect(this.callersPort, '127.0.0.1');
    socket.end(`${[...head, 'Connection: close'].join('\r\n')}\r\n\r\n`);
    const chunks: Buffer[] = [];
    for await (const chunk of socket) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks).toString('utf8');
  }

  async readiness(): Promise<number> {
    const answer = await fetch(`http://127.0.0.1:${this.readinessPort}/ready`);
    await answer.arrayBuffer();
    return answer.status;
  }

  #recordLine(line: LoggedLine): void {
    this.lines.push(line);
    for (const resolve of this.#lineWaiters) resolve();
    this.#lineWaiters.clear();
  }
}
