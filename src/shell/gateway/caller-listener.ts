/**
 * The HTTP listener for callers: authenticates requests, reads them within the configured limits, finds their route
 * and starts the exchange. node:http checks the framing (RFC 9112 section 6.3).
 */
import { createHash } from 'node:crypto';
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type {
  HeaderSize,
  MemoryLedger,
  MemoryReservation,
  Route,
  StopTimes,
  Tenant,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { HeldBytes } from '../bytes/index.js';
import { breakOffResponse } from '../http/break-off-response.js';
import type { AttemptContext } from './attempt.js';
import { BodyReader, type BodyRequest, discardBody } from './body-reader.js';
import { CallerConnections } from './caller-connections.js';
import type { CallerRefusals } from './caller-refusals.js';
import { Exchange } from './exchange.js';
import type { ConfigurationInForce } from './fleet-view.js';
import { encodeAvailability, unavailableAmong } from './forwarded-availability.js';
import { type ForwardedRequest, notTakenHeaders } from './forwarding-headers.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { INTERNAL_FAULT_REASON, logFault } from './internal-faults.js';
import { runModelExchange } from './model-exchange.js';
import { type OpenRequest, OpenRequests } from './open-requests.js';
import type { RawHeaders } from './ports.js';
import { refuseResumption } from './refuse-unavailable.js';
import { dropHeaders, headerSizeOf } from './request-head.js';
import { RequestIntake } from './request-intake.js';
import type { GatewayLog } from './request-log.js';
import type { ResourceMonitor } from './resource-monitor.js';
import type { ServicePathMonitor } from './service-path-monitor.js';
import { StalledBodies } from './stalled-bodies.js';
import { STOPPING_RETRY_AFTER_MS } from './stop-refusal.js';
import { delay, type TimerService } from './timer-service.js';
import { TurnBudget } from './turn-budget.js';
import { UnreadAnswers } from './unread-answers.js';
import { runWebExchange } from './web-exchange.js';

/** Limit of the HTTP parser; the configured limit is checked after parsing. */
const MAX_PARSED_HEADER_BYTES = 131_072;
const MILLISECONDS_PER_SECOND = 1_000;
const REJECTED_RETRY_AFTER_MS = 1_000;
const NO_DESCRIPTORS_REASON = 'no connections for more requests';
const NO_MEMORY_REASON = 'no memory for more requests';
const BODY_TIMED_OUT_REASON = 'the body did not arrive in time';
/** A caller that sends the rest of its body by then reads why it was rejected; its connection is closed anyway. */
const DISCARD_MS = 200;
const CONNECTION_CHECK_MS = 1_000;
const DEFAULT_IDLE_MS = 15_000;
/** Enough digits to find the tenant of a key in the log, and too few to recover the key. */
const KEY_DIGEST_DIGITS = 8;
const CUT_OFF_REASON = 'this daemon is cut off from the servers';
const STOPPING_REASON = 'this daemon is stopping';
const RETRY_LATER = ['Retry-After', String(REJECTED_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND)];
const STOPPING_RETRY_LATER = [
  'Retry-After',
  (STOPPING_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND).toFixed(2),
];
/** A 401 names the authentication scheme (RFC 9110 section 11.6.1). */
const CHALLENGE = ['WWW-Authenticate', 'ApiKey'] as const;

/** Dependencies of the listener. */
export interface CallerListenerOptions {
  readonly context: AttemptContext;
  readonly timers: TimerService;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly memory: Pick<MemoryLedger, 'reserve' | 'growHeads' | 'shrinkHeads'>;
  /** The most descriptors of this process; undefined where there are more than it can need. */
  readonly descriptors: number | undefined;
  readonly resources: Pick<ResourceMonitor, 'recordRejected' | 'recordDropped'>;
  readonly refusals: Pick<CallerRefusals, 'record'>;
  readonly paths: Pick<ServicePathMonitor, 'isLost'>;
  /** Time since the last check for a newer configuration. */
  readonly configurationCheckAgeMs: () => number;
  /** How long the configuration has been in force. */
  readonly inForceForMs: () => number;
}

/** A request that has been read, with its route and tenant. */
interface AdmittedRequest {
  readonly open: OpenRequest;
  readonly inForce: ConfigurationInForce;
  readonly route: Route;
  readonly tenant: Tenant | undefined;
  readonly body: Buffer;
  readonly memory: MemoryReservation;
}

/** Accepts callers' requests. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  /** Undefined unless the daemon is stopping. */
  #stop: StopTimes | undefined;
  /** Whether a stop is at its end, so that nothing runs any more. */
  #isEnding = false;
  readonly #open = new OpenRequests();
  readonly #budget: TurnBudget;
  readonly #stalled: StalledBodies;
  readonly #intake: RequestIntake;
  readonly #bodies: BodyReader;
  readonly #unread: UnreadAnswers;
  readonly connections: CallerConnections;

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    this.#budget = new TurnBudget(options.timers);
    const { timers, context } = options;
    const idleTimeoutMs = () =>
      context.fleet.inForce?.configuration.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
    this.#stalled = new StalledBodies({ timers, idleTimeoutMs });
    this.#unread = new UnreadAnswers({
      idleTimeoutMs,
      onGivenUp: (heldBytes) => options.refusals.record('answer-unread', heldBytes),
    });
    this.#bodies = new BodyReader(this.#stalled);
    this.#server = http.createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      },
      (request, response) => {
        if (this.#intake.accept(request, response)) this.handle(request, response, this.#intake);
      },
    );
    this.#intake = this.createIntake(this.#server);
    this.connections = new CallerConnections({
      server: this.#server,
      isIdle: (socket) => this.#intake.answers.isIdle(socket),
      descriptors: options.descriptors,
      requestsInFlight: () => this.inFlight,
      onDropped: () => options.resources.recordDropped(),
    });
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#open.size;
  }

  /** The requests that have no final answer yet. */
  get openRequests(): Pick<OpenRequests, 'all' | 'total'> {
    return this.#open;
  }

  /** What is held of the bodies of requests whose answers have not ended. */
  get heldBodies(): Pick<HeldBytes, 'bytes' | 'objects'> {
    return this.#bodies.held;
  }

  get server(): Server {
    return this.#server;
  }

  /** Applies the limits of a configuration to new connections. */
  applyLimits(limits: ConfigurationInForce['configuration']['limits']): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on the last answer of each connection carries `Connection: close`. */
  beginStop(stop: StopTimes): void {
    this.#stop = stop;
    this.#intake.answers.announceClose();
  }

  /**
   * Ends what runs at the end of a stop. Requests whose body is arriving are rejected as soon as it is there, as are those
   * that still come: an answer may be lost where a connection is closed with unread bytes.
   */
  endRunning(): void {
    this.#isEnding = true;
    for (const { arrived, exchange } of this.#open.all()) {
      if (!arrived.response.writableEnded) exchange?.endByStop();
    }
  }

  /** Answers the requests that `endRunning` has not ended, whatever they wait for. */
  answerLeft(): void {
    for (const open of this.#open.all()) {
      if (open.arrived.response.writableEnded) continue;
      if (open.exchange === undefined) this.#rejectStopping(open);
      else open.exchange.endInterrupted();
    }
  }

  /** Ends all answers that are not complete, so that none looks complete. */
  breakOff(): void {
    for (const { arrived } of this.#open.all()) breakOffResponse(arrived.response);
  }

  /** Takes requests in at a server, for callers or for other daemons, within the memory that all requests share. */
  createIntake(server: Server): RequestIntake {
    const { memory, refusals, context } = this.#options;
    const maxHeaderBytes = () =>
      context.fleet.inForce?.configuration.limits.maxHeaderBytes ?? MAX_PARSED_HEADER_BYTES;
    return new RequestIntake({ server, memory, maxHeaderBytes, refusals, budget: this.#budget });
  }

  /**
   * Handles a request to its final answer. An exception ends this request only.
   * @param intake has taken the request in
   * @param forwarded set for a request that another daemon has forwarded
   */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
    intake: RequestIntake,
    forwarded?: ForwardedRequest,
  ): void {
    const arrivedAtMs = this.#options.timers.nowMs();
    const open = this.#open.add({ request, response, forwarded, arrivedAtMs });
    response.on('error', () => breakOffResponse(response));
    this.#unread.watch(response);
    this.#reserveAndAdmit(open, intake).catch((exception: unknown) => {
      this.#logFault(request, exception);
      if (response.headersSent) breakOffResponse(response);
      else this.#reject(request, response, 500, INTERNAL_FAULT_REASON, []);
    });
  }

  #logFault(request: IncomingMessage, exception: unknown): void {
    const { context, log } = this.#options;
    const attemptId = context.codec.describe(request.headers)?.attemptId ?? '';
    logFault(log, { task: 'request', request: attemptId, server: '' }, exception);
  }

  /** Any request takes memory until its answer has ended, also one that is rejected. */
  async #reserveAndAdmit(open: OpenRequest, intake: RequestIntake): Promise<void> {
    const { request, response } = open.arrived;
    const headers = headerSizeOf(request);
    const isPipelined = intake.isPipelined(request);
    const memory = isPipelined
      ? this.#options.memory.reserve(headers, isPipelined)
      : this.#stalled.makeRoom(() => this.#options.memory.reserve(headers));
    if (memory === undefined && isPipelined) {
      intake.closePipelined(request);
      return;
    }
    if (memory === undefined) {
      dropHeaders(request);
      return this.#rejectUnread(open, NO_MEMORY_REASON);
    }
    response.once('close', () => memory.release());
    const onPiece = intake.bodyRecorder(request);
    await this.#admit(open, { request, response, memory, onPiece }, headers);
  }

  async #admit(open: OpenRequest, incoming: BodyRequest, headers: HeaderSize): Promise<void> {
    const { request, response, forwarded } = open.arrived;
    const { memory } = incoming;
    const { context } = this.#options;
    if (this.#isEnding) return this.#rejectStopping(open);
    const { inForce } = context.fleet;
    const isReady = inForce !== undefined && context.crashes.isReadyToServe;
    if (!isReady) {
      const reason =
        inForce === undefined ? 'no configuration yet' : 'this daemon has just started';
      if (forwarded !== undefined) return this.#rejectForwarded(request, response, reason);
      return this.#rejectNotReady(request, response, reason);
    }
    const notTaken = this.#whyNotTaken(inForce, forwarded);
    if (notTaken !== undefined) return this.#rejectForwarded(request, response, notTaken);
    const route = inForce.routes.find(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) return this.#rejectRoute(request, response, inForce);
    const admission = inForce.tenants.admit(route, context.codec.apiKey(request.headers));
    if (admission.kind === 'unknown-key') return this.#rejectKey(request, response, inForce, route);
    // A forwarded request has headers of the hop besides the caller's, which the first daemon has checked.
    const isChecked = forwarded !== undefined;
    if (!isChecked && headers.bytes > inForce.configuration.limits.maxHeaderBytes) {
      return this.#reject(request, response, 431, 'headers too large', []);
    }
    if (!this.connections.hasRoom) {
      return this.#rejectUnread(open, NO_DESCRIPTORS_REASON);
    }
    open.enter('reading-body', route.name);
    const { maxBodyBytes } = inForce.configuration.limits;
    const reading = await this.#bodies.read(incoming, maxBodyBytes);
    switch (reading.kind) {
      case 'too-large':
        return this.#reject(request, response, 413, 'body too large', []);
      case 'no-memory':
        return this.#rejectUnread(open, NO_MEMORY_REASON);
      case 'timed-out':
        return this.#rejectTimedOut(open, reading.heldBytes);
      case 'evicted':
        this.#options.refusals.record('body-evicted', reading.heldBytes);
        return this.#rejectStalled(open, 503, NO_MEMORY_REASON, RETRY_LATER);
      case 'broken':
        return;
      case 'read':
        break;
    }
    if (this.#isEnding) return this.#rejectStopping(open);
    const { body } = reading;
    const { tenant } = admission;
    await this.#runExchange({ open, inForce, route, tenant, body, memory });
  }

  async #runExchange(admitted: AdmittedRequest): Promise<void> {
    const { open, inForce, route, tenant, body, memory } = admitted;
    const { request, response, arrivedAtMs, forwarded } = open.arrived;
    const { context, timers, log, metrics } = this.#options;
    const description = context.codec.describe(request.headers);
    if (description === undefined) {
      return this.#reject(request, response, 400, 'no attempt id', []);
    }
    open.enter('finding-origin', route.name);
    const resumption = await context.streams.decideResumption(description, route);
    // The exchange would not notice a close from before it was there.
    if (response.closed) return;
    if (this.#isEnding) return this.#rejectStopping(open);
    const resumedOrigin = resumption?.kind === 'continue' ? resumption.origin : undefined;
    const service = resumedOrigin?.service ?? this.#serviceOf(route, forwarded);
    const exchange = new Exchange({
      request,
      response,
      route,
      service,
      tenant,
      rank: inForce.tenants.rankOf(tenant, route),
      configuration: inForce.configuration,
      description,
      body,
      memory,
      arrivedAtMs,
      forwarded,
      resumedOrigin,
      refusalHeaders: () => this.#refusalHeaders(service, forwarded),
      ...(forwarded === undefined ? {} : { hopHeaders: (ids) => this.#availabilityHeaders(ids) }),
      timers,
      log,
      metrics,
      stop: () => this.#stop,
    });
    open.runBy(exchange);
    if (resumption?.kind === 'reject') return refuseResumption(exchange, resumption.reason);
    if (context.crashes.refuseIfQuarantined(exchange)) return;
    const unfollow = context.crashes.follow(exchange);
    try {
      await runExchange(exchange, context);
    } catch (exception) {
      this.#logFault(request, exception);
      exchange.endAfterFault();
    } finally {
      unfollow();
    }
  }

  /** Passes a forwarded request back, so that a third daemon takes what this one refuses as it stops or is cut off. */
  #refusalHeaders(service: string, forwarded: ForwardedRequest | undefined): RawHeaders {
    if (forwarded === undefined) return [];
    if (this.#stop !== undefined) return notTakenHeaders(STOPPING_REASON);
    return this.#options.paths.isLost(service) ? notTakenHeaders(CUT_OFF_REASON) : [];
  }

  #availabilityHeaders(serverIds: ReadonlySet<string>): RawHeaders {
    const { context, timers } = this.#options;
    return encodeAvailability(unavailableAmong(serverIds, context.fleet, timers.nowMs()));
  }

  /** A forwarded request stays with the service that was chosen for it, if the route still leads there. */
  #serviceOf(route: Route, forwarded: ForwardedRequest | undefined): string {
    const isAllowed = route.traffic.some(
      ({ service, weight }) => service === forwarded?.service && weight > 0,
    );
    if (forwarded !== undefined && isAllowed) return forwarded.service;
    return this.#options.context.fleet.splitter.choose(route) ?? '';
  }

  /** Why this daemon leaves a forwarded request to another one; undefined if it takes it. */
  #whyNotTaken(
    { configuration }: ConfigurationInForce,
    forwarded: ForwardedRequest | undefined,
  ): string | undefined {
    if (forwarded === undefined) return undefined;
    if (this.#stop !== undefined) return STOPPING_REASON;
    if (configuration.version < forwarded.configurationVersion) return 'an older configuration';
    return this.#options.paths.isLost(forwarded.service) ? CUT_OFF_REASON : undefined;
  }

  /** Rejects a request that no exchange runs at the end of a stop. */
  #rejectStopping({ arrived }: OpenRequest): void {
    const { request, response, forwarded } = arrived;
    const headers =
      forwarded === undefined ? STOPPING_RETRY_LATER : notTakenHeaders(STOPPING_REASON);
    this.#reject(request, response, 503, STOPPING_REASON, headers);
  }

  /** The body is read first: a connection that is closed with unread bytes is reset, and the answer may be lost. */
  async #rejectForwarded(
    request: IncomingMessage,
    response: ServerResponse,
    reason: string,
  ): Promise<void> {
    await discardBody(request);
    this.#reject(request, response, 503, reason, notTakenHeaders(reason));
  }

  /** Rejects a request that came before the daemon is ready for requests. */
  #rejectNotReady(request: IncomingMessage, response: ServerResponse, reason: string): void {
    this.#reject(request, response, 503, reason, RETRY_LATER);
  }

  /** Rejects a request that this process has not the resources for; nothing of its body is kept. */
  async #rejectUnread({ arrived }: OpenRequest, reason: string): Promise<void> {
    const { request, response, forwarded } = arrived;
    this.#options.resources.recordRejected();
    const headers = forwarded === undefined ? RETRY_LATER : notTakenHeaders(reason);
    await Promise.race([discardBody(request), delay(this.#options.timers, DISCARD_MS)]);
    this.#reject(request, response, 503, reason, headers, !this.connections.hasRoom);
  }

  #rejectTimedOut(open: OpenRequest, heldBytes: number): void {
    this.#options.refusals.record('body-timed-out', heldBytes);
    this.#rejectStalled(open, 408, BODY_TIMED_OUT_REASON, []);
  }

  /** Rejects a request whose body does not go on, and closes its connection. */
  #rejectStalled(open: OpenRequest, status: 408 | 503, reason: string, headers: RawHeaders): void {
    const { request, response, forwarded } = open.arrived;
    const isForwarded = forwarded !== undefined;
    const ownHeaders = isForwarded ? notTakenHeaders(reason) : headers;
    this.#reject(request, response, isForwarded ? 503 : status, reason, ownHeaders, true);
  }

  /** Logs the configuration version without a matching route and its age, as a newer version may have the route. */
  #rejectRoute(
    request: IncomingMessage,
    response: ServerResponse,
    { configuration }: ConfigurationInForce,
  ): void {
    const { context, log, configurationCheckAgeMs, inForceForMs } = this.#options;
    log.write(GATEWAY_EVENTS.routeUnknown, {
      request: context.codec.describe(request.headers)?.attemptId ?? '',
      host: request.headers.host ?? '',
      configurationVersion: configuration.version,
      inForceForMs: Math.round(inForceForMs()),
      lookAgeMs: Math.round(configurationCheckAgeMs()),
    });
    this.#reject(request, response, 404, 'no such route', []);
  }

  /** Logs the start of the unknown key's digest; the key itself is a secret. */
  #rejectKey(
    request: IncomingMessage,
    response: ServerResponse,
    inForce: ConfigurationInForce,
    route: Route,
  ): void {
    const { context, log } = this.#options;
    const apiKey = context.codec.apiKey(request.headers);
    log.write(GATEWAY_EVENTS.keyUnknown, {
      request: context.codec.describe(request.headers)?.attemptId ?? '',
      route: route.name,
      keyDigest: apiKey === undefined ? '' : digestOf(apiKey),
      configurationVersion: inForce.configuration.version,
    });
    this.#reject(request, response, 401, 'no tenant has this API key', CHALLENGE);
  }

  #reject(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
    headers: RawHeaders,
    closesConnection = false,
  ): void {
    // The end of a stop may have answered it meanwhile.
    if (response.headersSent) return;
    const body = `${reason}\n`;
    const own = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
    if (closesConnection || !request.complete) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers, ...own]);
    response.end(body);
    this.#options.metrics.recordRequest(
      { route: '', kind: 'none', outcome: `status-${status}`, reason },
      0,
    );
    request.resume();
  }
}

/** Runs a request to its final answer, here or at another daemon. */
async function runExchange(exchange: Exchange, context: AttemptContext): Promise<void> {
  if (context.forwarding.isNeeded(exchange)) return context.forwarding.run(exchange, context);
  const { configuration, service, route } = exchange.options;
  const hasEngines = configuration.services.get(service)?.engine !== undefined;
  const isModelRequest = hasEngines || route.kind === 'streaming';
  if (isModelRequest) await runModelExchange(exchange, context);
  else await runWebExchange(exchange, context);
}

function digestOf(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex').slice(0, KEY_DIGEST_DIGITS);
}
