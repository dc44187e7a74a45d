/**
 * The callers' side of a daemon: OpenAI's model API, plain HTTP to web services, and the health and
 * metrics pages. What it observes goes out as events; what the core decides comes in as effects.
 * Bytes of bodies and tokens stay here.
 */
import { createServer, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import type { DaemonName, Incarnation, RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { VersionedConfiguration } from '../../core/configuration/document.js';
import type { Endpoint } from '../../core/registry/backend.js';
import type { AttemptEvent, RequestDescription, RequestEffect } from '../../core/requests/index.js';
import { ActiveRequest, type RequestHost } from './active-request.js';
import type { BackendAttempt, DispatchEffect } from './backend-attempt.js';
import { BackendPools } from './backend-pools.js';
import { BodyBudget } from './body-reader.js';
import { CallerConnections } from './caller-connections.js';
import { CallerRoutes, type RouteHost } from './caller-routes.js';
import { answerClientError, type ClientError } from './client-error.js';
import { ConfigurationIndex } from './configuration-index.js';
import { EventBuffer } from './event-buffer.js';
import type { HttpLimits } from './limits.js';
import type { PageSources } from './pages.js';
import { PassThroughAttempt } from './pass-through-attempt.js';
import type { PreparedRequest } from './request-preparation.js';
import { StreamAttempt } from './stream-attempt.js';

/** What the server tells the daemon's fold. */
export type CallerEvent =
  | { readonly kind: 'request-arrived'; readonly description: RequestDescription }
  | { readonly kind: 'attempt'; readonly request: RequestId; readonly event: AttemptEvent }
  | { readonly kind: 'caller-gone'; readonly request: RequestId };

/** Whether this daemon should be sent requests, and why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string;
}

/** What the server needs of the daemon. */
export interface CallerServerOptions {
  /** Where to listen; port 0 picks a free one. */
  readonly listen: Endpoint;
  readonly limits: HttpLimits;
  readonly daemonName: DaemonName;
  readonly incarnation: Incarnation;
  now(): MonotonicMs;
  configuration(): VersionedConfiguration;
  readiness(): Readiness;
  metricsText(): Promise<string>;
  /** May call `perform` before it returns. */
  emit(event: CallerEvent): void;
}

/** How often stalled callers and idle pools are looked for. */
const SWEEP_INTERVAL_MS = 1_000;
/** How often connections are checked for requests that take too long to arrive. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Builds a server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  return new CallerServer(options);
}

/** The callers' side of one daemon. */
export class CallerServer implements RequestHost, RouteHost {
  readonly limits: HttpLimits;
  readonly eventBuffer = new EventBuffer();
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #pools: BackendPools;
  readonly bodies: BodyBudget;
  readonly pages: PageSources;
  readonly #routes = new CallerRoutes(this);
  readonly #connections = new CallerConnections();
  readonly #requests = new Map<RequestId, ActiveRequest>();
  #index: ConfigurationIndex;
  #sweeper: NodeJS.Timeout | null = null;
  #arrivals = 0;
  #stopping = false;

  constructor(options: CallerServerOptions) {
    const { limits } = options;
    this.#options = options;
    this.limits = limits;
    this.pages = options;
    this.#pools = new BackendPools(limits);
    this.bodies = new BodyBudget(limits.maxBufferedBytes);
    this.#index = new ConfigurationIndex(options.configuration());
    this.#server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs),
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: limits.keepAliveTimeoutMs,
        connectionsCheckingInterval: Math.min(
          TIMEOUT_CHECK_INTERVAL_MS,
          limits.headersTimeoutMs,
          limits.requestTimeoutMs,
        ),
        noDelay: true,
      },
      (request, response) => {
        this.#connections.trackRequest(request.socket, response);
        if (this.#stopping) response.shouldKeepAlive = false;
        this.#routes.handle(request, response);
      },
    );
    this.#server.maxConnections = limits.maxConnections;
    this.#server.on('connection', (socket: Socket) => this.#connections.track(socket));
    this.#server.on('clientError', (error: ClientError, socket) =>
      answerClientError(error, socket as Socket),
    );
  }

  /** Requests whose response is not over or whose attempt still runs. */
  get activeRequests(): number {
    return this.#requests.size;
  }

  /** Bytes of request bodies held, for the metrics. */
  get heldBodyBytes(): number {
    return this.bodies.heldBytes;
  }

  /** Begins to listen; gives the address and the port that was bound. */
  listen(): Promise<Endpoint> {
    const { address, port } = this.#options.listen;
    this.#sweeper = setInterval(
      () => this.#sweep(),
      Math.min(SWEEP_INTERVAL_MS, this.limits.callerStallTimeoutMs),
    );
    this.#sweeper.unref();
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, () => {
        this.#server.off('error', reject);
        const bound = this.#server.address() as AddressInfo;
        resolve({ address: bound.address, port: bound.port });
      });
    });
  }

  /** Carries out an effect of the core. Effects for requests that are over do nothing. */
  perform(effect: RequestEffect): void {
    const request = this.#requests.get(effect.request);
    if (request === undefined) {
      this.#performForForgotten(effect);
      return;
    }
    switch (effect.kind) {
      case 'dispatch':
        this.#dispatch(request, effect);
        return;
      case 'refuse':
        request.refuse(effect.fault);
        return;
      case 'abort':
        request.abort(effect.fault);
        return;
      case 'cancel':
        request.cancelAttempt(effect.attempt);
        return;
      case 'replay':
        request.replay(effect.outcome);
        return;
    }
  }

  /**
   * Stops taking connections after a grace, in which callers learn of it: from `GET /readyz`, and by
   * `Connection: close` on each answer. Then closes idle connections. Running requests go on.
   */
  async stopAccepting(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    await new Promise((resolve) => setTimeout(resolve, this.limits.stopIdleGraceMs));
    // Right after a poll for events the queue of connections is empty, so that none is reset.
    await new Promise((resolve) => setImmediate(resolve));
    // node:http's own close would cut idle connections that a request is on its way on.
    NetServer.prototype.close.call(this.#server);
    this.#connections.closeWhenIdle();
  }

  /** Resolves once no caller's connection is open; after `stopAccepting` none can come any more. */
  callerConnectionsClosed(): Promise<void> {
    return this.#connections.allClosed();
  }

  /** Cuts everything. */
  async close(): Promise<void> {
    this.#stopping = true;
    if (this.#sweeper !== null) clearInterval(this.#sweeper);
    this.#server.close();
    this.#server.closeAllConnections();
    await this.#pools.destroy();
  }

  /** The daemon's monotonic clock. */
  now(): MonotonicMs {
    return this.#options.now();
  }

  /** Passes on what an attempt met. */
  onAttemptEvent(request: ActiveRequest, event: AttemptEvent): void {
    this.#options.emit({ kind: 'attempt', request: request.description.id, event });
  }

  /** Passes on that a caller went away before its answer was whole. */
  onCallerGone(request: ActiveRequest): void {
    this.#options.emit({ kind: 'caller-gone', request: request.description.id });
  }

  /** Forgets a request. */
  onReleased(request: ActiveRequest): void {
    if (!this.#requests.delete(request.description.id)) return;
    this.bodies.release(request.heldBytes);
  }

  /** The request is over, so nothing of it can be sent: the core must not wait for it. */
  #performForForgotten(effect: RequestEffect): void {
    if (effect.kind !== 'dispatch') return;
    const event: AttemptEvent = {
      kind: 'not-sent',
      attempt: effect.attempt,
      reason: 'caller-gone',
    };
    this.#options.emit({ kind: 'attempt', request: effect.request, event });
  }

  #dispatch(request: ActiveRequest, effect: DispatchEffect): void {
    const fresh = !request.description.repeatable;
    const pool = this.#pools.get(effect.address, effect.port, fresh, this.now());
    const attempt = newAttempt(request, effect);
    request.attempt = attempt;
    attempt.send(pool);
  }

  /** Takes over a request and tells the core of it. */
  startRequest(intake: PreparedRequest, response: ServerResponse): void {
    const { description, call, plan } = intake;
    const active = new ActiveRequest(this, description, response, call, plan);
    this.#requests.set(description.id, active);
    this.#options.emit({ kind: 'request-arrived', description });
  }

  /** The id of the next request. */
  nextId(): RequestId {
    this.#arrivals += 1;
    return `${this.#options.daemonName}-${this.#options.incarnation}-${this.#arrivals}`;
  }

  /** The look-ups of the configuration in force. */
  index(): ConfigurationIndex {
    const configuration = this.#options.configuration();
    if (configuration.version !== this.#index.version) {
      this.#index = new ConfigurationIndex(configuration);
    }
    return this.#index;
  }

  #sweep(): void {
    const now = this.now();
    for (const request of this.#requests.values()) {
      const since = request.pausedSince;
      if (since !== null && now - since >= this.limits.callerStallTimeoutMs)
        request.closeConnection();
    }
    this.#pools.sweep(now);
  }
}

function newAttempt(request: ActiveRequest, effect: DispatchEffect): BackendAttempt {
  const head = request.plan.answerHead;
  if (head === null) return new PassThroughAttempt(request, effect);
  return new StreamAttempt(request, effect, head);
}
