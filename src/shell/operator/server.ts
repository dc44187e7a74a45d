/** The server of the operator API: JSON over HTTP on its own address, with tokens and limits. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { isIP, type Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import { OPERATOR_EVENTS } from '../../core/logging/catalogue/operator.js';
import { type LogEffect, log } from '../../core/logging/log-event.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { BodyBudget } from '../http/index.js';
import { type Answer, faultAnswer, okAnswer, writeAnswer } from './answer.js';
import { type AccessRules, authorize, type Caller, isLoopback } from './authorize.js';
import type { OperatorBackend } from './backend.js';
import {
  answerCommands,
  answerConfiguration,
  answerExplain,
  answerQuery,
  commandsBodySchema,
  explainBodySchema,
  queryBodySchema,
} from './calls.js';
import { DEFAULT_OPERATOR_LIMITS, type OperatorLimits } from './limits.js';
import { readJsonBody } from './read-body.js';

/** Options of `createOperatorServer`. */
export interface OperatorServerOptions extends AccessRules {
  /** An IP number and port; with port 0 the system chooses a free one. */
  readonly listen: Endpoint;
  readonly backend: OperatorBackend;
  readonly limits?: Partial<OperatorLimits>;
  /** Receives the log lines of this server. */
  readonly log?: (effect: LogEffect) => void;
}

/** An operator server; it listens once `start` has been called. */
export interface OperatorServer {
  /** Starts to listen; resolves to the endpoint, with the port assigned. */
  start(): Promise<Result<Endpoint, Fault>>;
  /** Accepts no more connections, waits for running calls and closes idle connections. */
  close(): Promise<void>;
}

/** Creates the operator server. Refuses a host name as address, and settings with which nobody could call it. */
export function createOperatorServer(
  options: OperatorServerOptions,
): Result<OperatorServer, Fault> {
  const problem = findSettingProblem(options);
  if (problem !== null) {
    return err(refusedNotRun('invalid-request', problem));
  }
  return ok(new HttpOperatorServer(options));
}

function findSettingProblem(options: OperatorServerOptions): string | null {
  const { listen, tokens } = options;
  if (isIP(listen.address) === 0) {
    return `The operator address "${listen.address}" is not an IP number. State one, for example 127.0.0.1.`;
  }
  const hasTokens = tokens.length > 0;
  const openToAll = options.allowUnauthenticatedEverywhere === true;
  const openToLoopback = options.allowUnauthenticatedLoopback && isLoopback(listen.address);
  if (!hasTokens && !openToAll && !openToLoopback) {
    return 'The operator API has no token, so that nobody could call it. State token digests, or allow calls without a token.';
  }
  return null;
}

/** Interval at which Node.js checks connections for request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

class HttpOperatorServer implements OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #limits: OperatorLimits;
  readonly #bodies: BodyBudget;
  readonly #server: Server;
  #closing = false;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_OPERATOR_LIMITS, ...options.limits };
    this.#bodies = new BodyBudget(this.#limits.allBodiesBytes);
    this.#server = this.#createServer();
  }

  start(): Promise<Result<Endpoint, Fault>> {
    const { address, port } = this.#options.listen;
    return new Promise((resolve) => {
      this.#server.once('error', (error) => resolve(err(listenFault(address, port, error))));
      this.#server.listen(port, address, () => resolve(ok(this.#listening())));
    });
  }

  close(): Promise<void> {
    this.#closing = true;
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #createServer(): Server {
    const limits = this.#limits;
    const server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        requestTimeout: limits.requestTimeoutMs,
        headersTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, limits.requestTimeoutMs),
      },
      (request, response) => {
        this.#serve(request, response).catch((error: unknown) => {
          this.#log(log(OPERATOR_EVENTS.callFailed, { error: String(error) }));
          response.destroy();
        });
      },
    );
    server.maxConnections = limits.connections;
    server.timeout = limits.idleTimeoutMs;
    server.on('clientError', (error, socket) => this.#refuseMalformed(error, socket as Socket));
    return server;
  }

  #listening(): Endpoint {
    const bound = this.#server.address();
    const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
    const endpoint = { address: this.#options.listen.address, port };
    this.#log(log(OPERATOR_EVENTS.listening, endpoint));
    return endpoint;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = await this.#answerSafely(request);
    if (this.#closing || !request.complete) {
      response.setHeader('connection', 'close');
    }
    writeAnswer(response, answer);
  }

  async #answerSafely(request: IncomingMessage): Promise<Answer> {
    try {
      return await this.#answer(request);
    } catch (error) {
      this.#log(log(OPERATOR_EVENTS.callFailed, { error: String(error) }));
      return faultAnswer(
        refusedNotRun('internal', 'The daemon failed at this call. See event 5004 in its log.'),
      );
    }
  }

  async #answer(request: IncomingMessage): Promise<Answer> {
    const path = (request.url ?? '').split('?', 1)[0] ?? '';
    if (path === '/healthz') {
      return okAnswer({ status: 'ok' });
    }
    const caller = authorize(request, this.#options);
    if (caller.isErr()) {
      return this.#refuseUnauthorized(request, caller.error);
    }
    return this.#route(request, path, caller.value);
  }

  #route(request: IncomingMessage, path: string, caller: Caller): Promise<Answer> {
    const { backend } = this.#options;
    switch (`${request.method} ${path}`) {
      case 'POST /v1/query':
        return this.#withBody(request, queryBodySchema, (body) => answerQuery(backend, body));
      case 'POST /v1/commands':
        return this.#withBody(request, commandsBodySchema, (body) => this.#change(caller, body));
      case 'POST /v1/explain':
        return this.#withBody(request, explainBodySchema, (body) => answerExplain(backend, body));
      case 'GET /v1/status':
        return Promise.resolve(okAnswer(backend.status()));
      case 'GET /v1/configuration':
        return Promise.resolve(answerConfiguration(backend, caller));
      default:
        return Promise.resolve(faultAnswer(unknownCallFault(request.method ?? '', path)));
    }
  }

  async #withBody<T>(
    request: IncomingMessage,
    schema: z.ZodType<T>,
    handle: (body: T) => Promise<Answer>,
  ): Promise<Answer> {
    const limits = { maxBytes: this.#limits.bodyBytes, budget: this.#bodies };
    const body = await readJsonBody(request, schema, limits);
    return body.isErr() ? faultAnswer(body.error) : handle(body.value);
  }

  async #change(caller: Caller, body: z.infer<typeof commandsBodySchema>): Promise<Answer> {
    const { answer, outcome } = await answerCommands(this.#options.backend, caller, body);
    const code = outcome.kind === 'refused' ? outcome.fault.code : null;
    this.#log(
      log(OPERATOR_EVENTS.changeAnswered, {
        change: outcome.id,
        operator: caller.name,
        outcome: outcome.kind,
        code,
      }),
    );
    return answer;
  }

  #refuseUnauthorized(request: IncomingMessage, fault: Fault): Answer {
    const address = request.socket.remoteAddress ?? null;
    this.#log(log(OPERATOR_EVENTS.callRefused, { address, code: fault.code }));
    return faultAnswer(fault);
  }

  #refuseMalformed(error: Error, socket: Socket): void {
    const code = 'code' in error ? String(error.code) : 'unknown';
    this.#log(log(OPERATOR_EVENTS.malformedRequest, { code }));
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.end(rawAnswer(faultAnswer(malformedFault(code))));
  }

  #log(effect: LogEffect): void {
    this.#options.log?.(effect);
  }
}

function listenFault(address: string, port: number, error: Error): Fault {
  return refusedNotRun(
    'invalid-request',
    `The operator API can't listen on ${address}:${port} (${error.message}). Free it or state another in the settings.`,
  );
}

const METHOD_BY_PATH: Readonly<Record<string, string>> = {
  '/v1/query': 'POST',
  '/v1/commands': 'POST',
  '/v1/explain': 'POST',
  '/v1/status': 'GET',
  '/v1/configuration': 'GET',
};

function unknownCallFault(method: string, path: string): Fault {
  const allowed = Object.hasOwn(METHOD_BY_PATH, path) ? METHOD_BY_PATH[path] : undefined;
  if (allowed !== undefined) {
    return refusedNotRun('method-not-allowed', `${path} does not take ${method}. Use ${allowed}.`);
  }
  return refusedNotRun(
    'unknown-route',
    `The operator API has no such call. Use one of: ${Object.keys(METHOD_BY_PATH).join(', ')}, /healthz.`,
  );
}

function malformedFault(code: string): Fault {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return refusedNotRun('headers-too-large', 'The headers are too large. Send fewer.');
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return refusedNotRun('body-timeout', 'The request did not arrive in time. Send it faster.');
  }
  return refusedNotRun('invalid-request', 'This is not a valid HTTP request. Correct the client.');
}

/** The bytes of an answer to a request that could not be parsed, for which Node.js has no response. */
function rawAnswer({ status, body }: Answer): string {
  const text = `${JSON.stringify(body)}\n`;
  return [
    `HTTP/1.1 ${status} Refused`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
    '',
    text,
  ].join('\r\n');
}
