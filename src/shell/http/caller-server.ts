/**
 * The HTTP server for callers: OpenAI's model API, plain HTTP to web services, and the health and
 * metrics pages. It reports observations to the core as events and performs the core's decisions as
 * effects. Bodies and tokens never enter the core.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import type { DaemonName, Incarnation, RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { VersionedConfiguration } from '../../core/configuration/document.js';
import type { Endpoint } from '../../core/registry/backend.js';
import type { AttemptEvent, RequestDescription, RequestEffect } from '../../core/requests/index.js';
import { acceptWaiting } from './accept-queue.js';
import { ActiveRequest, type RequestHost } from './active-request.js';
import type { BackendAttempt, DispatchEffect } from './backend-attempt.js';
import { BackendPools } from './backend-pools.js';
import { BodyIntake } from './body-intake.js';
import { CallerConnections } from './caller-connections.js';
import { CallerRoutes, type RouteHost } from './caller-routes.js';
import { answerClientError, type ClientError } from './client-error.js';
import { ConfigurationIndex } from './configuration-index.js';
import { EventBuffer } from './event-buffer.js';
import type { HttpLimits } from './limits.js';
import type { PageSources } from './pages.js';
import { PassThroughAttempt } from './pass-through-attempt.js';
import { PendingAnswers } from './pending-answers.js';
import type { RefusalListener } from './refusal-log.js';
import { RequestAdmission } from './request-admission.js';
import { connectionLimit, RequestMemory, requestHeapLimit } from './request-memory.js';
import type { PreparedRequest } from './request-preparation.js';
import { StreamAttempt } from './stream-attempt.js';

/** Events that the server emits to the core. */
export type CallerEvent =
  | { readonly kind: 'request-arrived'; readonly description: RequestDescription }
  | { readonly kind: 'attempt'; readonly request: RequestId; readonly event: AttemptEvent }
  | { readonly kind: 'caller-gone'; readonly request: RequestId };

/** Whether this daemon is ready for requests; `reason` says why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string;
}

/** The settings and callbacks that the daemon provides. */
export interface CallerServerOptions {
  /** The address to listen on; port 0 selects a free port. */
  readonly listen: Endpoint;
  readonly limits: HttpLimits;
  readonly daemonName: DaemonName;
  readonly incarnation: Incarnation;
  now(): MonotonicMs;
  configuration(): VersionedConfiguration;
  readiness(): Readiness;
  metricsText(): Promise<string>;
  /** Called for each request that is refused, or connection that is closed, at a limit of memory or time. */
  readonly onRefused: RefusalListener;
  /** May call `perform` before it returns. */
  emit(event: CallerEvent): void;
}

/** The interval of the checks for stalled callers and idle pools. */
/** Connections that wait are accepted for this time at most, as callers may connect again and again. */
const MAX_ACCEPT_MS = 1_000;
const SWEEP_INTERVAL_MS = 1_000;
/** The interval of the checks for requests that take too long to arrive. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Creates a server that does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  return new CallerServer(options);
}

/** The HTTP server for the callers of one daemon. */
export class CallerServer implements RequestHost, RouteHost {
  readonly limits: HttpLimits;
  readonly eventBuffer = new EventBuffer();
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #pools: BackendPools;
  readonly bodies: BodyIntake;
  readonly pages: PageSources;
  readonly #admission: RequestAdmission;
  readonly #routes = new CallerRoutes(this);
  readonly #connections = new CallerConnections();
  readonly #answers = new PendingAnswers();
  readonly #requests = new Map<RequestId, ActiveRequest>();
  readonly #endedCallbacks: (() => void)[] = [];
  #index: ConfigurationIndex;
  #sweepTimer: NodeJS.Timeout | null = null;
  #arrivalCount = 0;
  #stopping = false;

  constructor(options: CallerServerOptions) {
    const { limits } = options;
    this.#options = options;
    this.limits = limits;
    this.pages = options;
    this.#pools = new BackendPools(limits);
    this.bodies = new BodyIntake({
      limits,
      now: () => options.now(),
      onRefused: options.onRefused,
    });
    const { heap_size_limit: heapLimitBytes } = getHeapStatistics();
    const requestHeapBytes = requestHeapLimit(heapLimitBytes);
    this.#admission = new RequestAdmission({
      memory: new RequestMemory(Math.min(limits.maxRequestHeapBytes, requestHeapBytes)),
      answers: this.#answers,
      maxPipelinedRequests: limits.maxPipelinedRequests,
      onRefused: options.onRefused,
    });
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
      (request, response) => this.#handle(request, response),
    );
    this.#server.maxConnections = Math.min(
      limits.maxConnections,
      connectionLimit(heapLimitBytes, limits.maxHeaderBytes),
    );
    this.#server.on('drop', () => options.onRefused('too-many-connections', 0));
    this.#server.on('connection', (socket: Socket) => {
      this.#connections.track(socket);
      this.#admission.watch(socket);
    });
    this.#server.on('clientError', (error: ClientError, socket) =>
      answerClientError(error, socket as Socket),
    );
  }

  /** Requests whose response is open or whose attempt still runs. */
  get activeRequests(): number {
    return this.#requests.size;
  }

  /** Memory of request bodies in bytes, for the metrics. */
  get heldBodyBytes(): number {
    return this.bodies.heldBytes;
  }

  /** Starts listening; resolves to the bound address and port. */
  listen(): Promise<Endpoint> {
    const { address, port } = this.#options.listen;
    this.#sweepTimer = setInterval(
      () => this.#sweep(),
      Math.min(SWEEP_INTERVAL_MS, this.limits.callerStallTimeoutMs, this.limits.bodyStallTimeoutMs),
    );
    this.#sweepTimer.unref();
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, () => {
        this.#server.off('error', reject);
        const bound = this.#server.address() as AddressInfo;
        resolve({ address: bound.address, port: bound.port });
      });
    });
  }

  /**
   * Performs an effect of the core. For a released request, a dispatch is reported as not sent and
   * other effects are ignored.
   */
  perform(effect: RequestEffect): void {
    const request = this.#requests.get(effect.request);
    if (request === undefined) {
      this.#reportNotSentForReleased(effect);
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
   * Stops accepting connections after a grace period, in which `GET /readyz` and `Connection: close`
   * on each answer announce the stop to callers. Then closes idle connections. Running requests are
   * completed.
   */
  async stopAccepting(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#answers.announceClose();
    await new Promise((resolve) => setTimeout(resolve, this.limits.stopIdleGraceMs));
    const acceptsUntil = this.#options.now() + MAX_ACCEPT_MS;
    await acceptWaiting(this.#server, () => this.#options.now() < acceptsUntil);
    // node:http's own close() would close idle connections on which a request may be in transit.
    NetServer.prototype.close.call(this.#server);
    this.#connections.closeWhenIdle();
  }

  /** Resolves when no caller connection is open. After `stopAccepting` no new one can be opened. */
  callerConnectionsClosed(): Promise<void> {
    return this.#connections.allClosed();
  }

  /** Resolves when no request is active. */
  requestsEnded(): Promise<void> {
    if (this.#requests.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#endedCallbacks.push(resolve));
  }

  /** Closes the server and all connections to callers and backends at once. */
  async close(): Promise<void> {
    this.#stopping = true;
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer);
    this.#connections.breakOff();
    this.#server.close();
    this.#server.closeAllConnections();
    await this.#pools.destroy();
  }

  /** The daemon's monotonic clock. */
  now(): MonotonicMs {
    return this.#options.now();
  }

  /** Reports an event of an attempt to the core. */
  onAttemptEvent(request: ActiveRequest, event: AttemptEvent): void {
    this.#options.emit({ kind: 'attempt', request: request.description.id, event });
  }

  /** Reports to the core that a caller disconnected before its answer was complete. */
  onCallerGone(request: ActiveRequest): void {
    this.#options.emit({ kind: 'caller-gone', request: request.description.id });
  }

  /** Removes a request and releases its body. */
  onReleased(request: ActiveRequest): void {
    if (!this.#requests.delete(request.description.id)) return;
    this.bodies.release(request.heldBytes);
    if (this.#requests.size > 0) return;
    for (const resolve of this.#endedCallbacks.splice(0)) resolve();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const admission = this.#admission.admit(request, response, this.#routes.isForPage(request));
    if (admission === 'ignored') return;
    this.#connections.trackRequest(request.socket, response);
    if (admission === 'admitted') this.#routes.handle(request, response);
  }

  /** Reports a dispatch of a released request as not sent, so that the core does not wait for it. */
  #reportNotSentForReleased(effect: RequestEffect): void {
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

  /** Registers a request and reports its arrival to the core. */
  startRequest(preparedRequest: PreparedRequest, response: ServerResponse): void {
    const { description, call, plan } = preparedRequest;
    const active = new ActiveRequest(this, description, response, call, plan);
    this.#requests.set(description.id, active);
    this.#options.emit({ kind: 'request-arrived', description });
  }

  /** The id of the next request. */
  nextId(): RequestId {
    this.#arrivalCount += 1;
    return `${this.#options.daemonName}-${this.#options.incarnation}-${this.#arrivalCount}`;
  }

  /** The index of the configuration that is in force, rebuilt when its version has changed. */
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
    this.bodies.sweep();
    this.#pools.sweep(now);
  }
}

function newAttempt(request: ActiveRequest, effect: DispatchEffect): BackendAttempt {
  const head = request.plan.answerHead;
  if (head === null) return new PassThroughAttempt(request, effect);
  return new StreamAttempt(request, effect, head);
}
