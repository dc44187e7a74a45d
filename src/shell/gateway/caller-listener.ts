/**
 * The callers' listener: reads requests within the configured limits, finds their route and hands
 * them on. Framing is checked by node:http (RFC 9112 section 6.3).
 */
import { createHash } from 'node:crypto';
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Route, Tenant } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { AttemptContext } from './attempt.js';
import { Exchange } from './exchange.js';
import type { ConfigurationInForce } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { runModelExchange } from './model-exchange.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';
import { runWebExchange } from './web-exchange.js';

/** The parser's own bound; the configured one is checked on what was read. */
const MAX_PARSED_HEADER_BYTES = 131_072;
const HEADER_OVERHEAD_BYTES = 4;
const MILLISECONDS_PER_SECOND = 1_000;
const UNPREPARED_RETRY_AFTER_MS = 1_000;
const CONNECTION_CHECK_MS = 1_000;
const DEFAULT_IDLE_MS = 15_000;
/** Enough to find the tenant that has a key, and too little to find the key. */
const KEY_DIGEST_DIGITS = 8;
/** A refusal for want of a key names how one is given (RFC 9110 section 11.6.1). */
const CHALLENGE = ['WWW-Authenticate', 'ApiKey'] as const;

/** What a listener is built from. */
export interface CallerListenerOptions {
  readonly context: AttemptContext;
  readonly timers: TimerService;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** How old the last look for a newer configuration is. */
  readonly configurationCheckAgeMs: () => number;
}

/** A request that has been read, with its route and whose it is. */
interface AdmittedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly inForce: ConfigurationInForce;
  readonly route: Route;
  readonly tenant: Tenant | undefined;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}

/** Takes callers' requests. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  /** When the requests under way are cut; undefined unless the daemon is stopping. */
  #stopsAtMs: number | undefined;
  #inFlight = 0;

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    this.#server = http.createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      },
      (request, response) => {
        void this.#take(request, response);
      },
    );
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  get server(): Server {
    return this.#server;
  }

  /** Takes the limits of a configuration for new connections. */
  applyLimits(limits: ConfigurationInForce['configuration']['limits']): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on answers ask callers to close their connections. */
  beginStop(stopsAtMs: number): void {
    this.#stopsAtMs = stopsAtMs;
  }

  async #take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
    });
    response.on('error', () => response.destroy());
    const arrivedAtMs = this.#options.timers.nowMs();
    const { context } = this.#options;
    const { inForce } = context.fleet;
    if (inForce === undefined) return this.#rejectYet(request, response, 'no configuration yet');
    if (!context.crashes.isReadyToServe) {
      return this.#rejectYet(request, response, 'this daemon has just started');
    }
    const route = inForce.routes.find(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) return this.#rejectRoute(request, response, inForce);
    const admission = inForce.tenants.admit(route, context.codec.apiKey(request.headers));
    if (admission.kind === 'unknown-key') return this.#rejectKey(request, response, inForce, route);
    if (headerBytes(request) > inForce.configuration.limits.maxHeaderBytes) {
      return this.#reject(request, response, 431, 'headers too large', []);
    }
    const body = await readBody(request, inForce.configuration.limits.maxBodyBytes);
    if (body === 'too-large') return this.#reject(request, response, 413, 'body too large', []);
    if (body === 'broken') return;
    const { tenant } = admission;
    await this.#exchange({ request, response, inForce, route, tenant, body, arrivedAtMs });
  }

  async #exchange(admitted: AdmittedRequest): Promise<void> {
    const { request, response, inForce, route, tenant, body, arrivedAtMs } = admitted;
    const { context, timers, log, metrics } = this.#options;
    const description = context.codec.describe(request.headers);
    if (description === undefined) {
      return this.#reject(request, response, 400, 'no attempt id', []);
    }
    const service = context.fleet.splitter.choose(route) ?? '';
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
      arrivedAtMs,
      timers,
      log,
      metrics,
      stopsAtMs: () => this.#stopsAtMs,
    });
    if (context.crashes.refuseIfQuarantined(exchange)) return;
    const hasEngines = inForce.configuration.services.get(service)?.engine !== undefined;
    const isModelRequest = hasEngines || route.kind === 'streaming';
    if (isModelRequest) await runModelExchange(exchange, context);
    else await runWebExchange(exchange, context);
  }

  /** The daemon takes no requests yet. */
  #rejectYet(request: IncomingMessage, response: ServerResponse, reason: string): void {
    const seconds = String(UNPREPARED_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND);
    this.#reject(request, response, 503, reason, ['Retry-After', seconds]);
  }

  /** Says which version knows no such route, and how old it is: another may have one. */
  #rejectRoute(
    request: IncomingMessage,
    response: ServerResponse,
    { configuration, sinceMs }: ConfigurationInForce,
  ): void {
    const { context, log, timers, configurationCheckAgeMs } = this.#options;
    log.write(GATEWAY_EVENTS.routeUnknown, {
      request: context.codec.describe(request.headers)?.attemptId ?? '',
      host: request.headers.host ?? '',
      configurationVersion: configuration.version,
      inForceForMs: Math.round(timers.nowMs() - sinceMs),
      lookAgeMs: Math.round(configurationCheckAgeMs()),
    });
    this.#reject(request, response, 404, 'no such route', []);
  }

  /** Says which key was not known by the beginning of its digest; the key itself is a secret. */
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
    headers: readonly string[],
  ): void {
    const body = `${reason}\n`;
    const own = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
    const mustClose = this.#stopsAtMs !== undefined || !request.complete;
    response.writeHead(status, [...headers, ...own, ...(mustClose ? ['Connection', 'close'] : [])]);
    response.end(body);
    this.#options.metrics.recordRequest(
      { route: '', kind: 'none', outcome: `status-${status}`, reason },
      0,
    );
    request.resume();
  }
}

function digestOf(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex').slice(0, KEY_DIGEST_DIGITS);
}

/** The size of a request's headers as they were sent. */
function headerBytes(request: IncomingMessage): number {
  let bytes = 0;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + (request.rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}

function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | 'too-large' | 'broken'> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > maxBytes) return Promise.resolve('too-large');
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) return resolve('too-large');
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('close', () => resolve('broken'));
    request.once('error', () => resolve('broken'));
  });
}
