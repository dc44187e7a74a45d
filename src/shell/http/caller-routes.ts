/** Routes a caller's request, reads its body, and starts or refuses the request. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import type { BodyIntake } from './body-intake.js';
import { type Caller, identifyCaller, NOT_CONFIGURED } from './caller-options.js';
import type { ConfigurationIndex } from './configuration-index.js';
import { refuseEarly } from './early-refusal.js';
import type { HttpLimits } from './limits.js';
import type { CompletionShape } from './model-call.js';
import {
  answerPage,
  isPage,
  METHOD_NOT_ALLOWED,
  type PageSources,
  UNKNOWN_ROUTE,
} from './pages.js';
import {
  type Arrival,
  MODEL_PATHS,
  type PreparedRequest,
  prepareModelRequest,
  prepareWebRequest,
} from './request-preparation.js';

const ABSOLUTE_FORM = /^https?:\/\/[^/?]*/i;

/** The part of the caller server that the routes use. */
export interface RouteHost {
  readonly limits: HttpLimits;
  readonly bodies: BodyIntake;
  readonly pages: PageSources;
  now(): MonotonicMs;
  nextId(): RequestId;
  /** The index of the configuration that is in force now. */
  index(): ConfigurationIndex;
  /** Starts a request. Its body stays reserved in `bodies` until the request is released. */
  startRequest(preparedRequest: PreparedRequest, response: ServerResponse): void;
}

type PrepareRequest = (arrival: Arrival, caller: Caller) => Result<PreparedRequest, Fault>;

/** The routes of one server. */
export class CallerRoutes {
  readonly #host: RouteHost;

  constructor(host: RouteHost) {
    this.#host = host;
  }

  /** Whether a request is for a page of the daemon itself. */
  isForPage({ url = '/' }: IncomingMessage): boolean {
    return isPage(pathOf(originForm(url)));
  }

  /** Handles a request whose headers have arrived. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    request.url = originForm(request.url ?? '/');
    const path = pathOf(request.url);
    const index = this.#host.index();
    const shape = MODEL_PATHS.get(path);
    if (shape !== undefined) {
      this.#handleModel(request, response, path, shape);
    } else if (!answerPage(request, response, path, this.#host.pages, index)) {
      this.#handleWeb(request, response, path);
    }
  }

  #handleModel(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    shape: CompletionShape,
  ): void {
    if (request.method !== 'POST') {
      refuseEarly(request, response, METHOD_NOT_ALLOWED);
      return;
    }
    const caller = identifyCaller(this.#host.index(), request.headers, false);
    this.#readAndPrepare(request, response, path, caller, (arrival, identified) =>
      prepareModelRequest(arrival, shape, identified, this.#host.limits.maxOutputTokens),
    );
  }

  /** An unknown Authorization header is accepted here: it may be meant for the web service. */
  #handleWeb(request: IncomingMessage, response: ServerResponse, path: string): void {
    const index = this.#host.index();
    const route = index.routeOf(path);
    if (route === undefined) {
      // Without a configuration the routes are unknown, and clients could cache a 404.
      const fault = index.version === 0 ? NOT_CONFIGURED : UNKNOWN_ROUTE;
      refuseEarly(request, response, fault);
      return;
    }
    const caller = identifyCaller(index, request.headers, true);
    this.#readAndPrepare(request, response, path, caller, (arrival, identified) =>
      prepareWebRequest(arrival, route, identified),
    );
  }

  #readAndPrepare(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    caller: Result<Caller, Fault>,
    prepare: PrepareRequest,
  ): void {
    if (caller.isErr()) {
      refuseEarly(request, response, caller.error);
      return;
    }
    this.#host.bodies.read(request, (result) => {
      if (result.kind === 'refused') refuseEarly(request, response, result.fault);
      if (result.kind !== 'body') return;
      this.#prepareAndStart(request, response, path, result.body, caller.value, prepare);
    });
  }

  #prepareAndStart(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    body: Buffer,
    caller: Caller,
    prepare: PrepareRequest,
  ): void {
    const host = this.#host;
    const id = host.nextId();
    const prepared = prepare(
      { id, request, path, body, now: host.now(), index: host.index() },
      caller,
    );
    if (prepared.isOk()) {
      host.startRequest(prepared.value, response);
      return;
    }
    host.bodies.release(body.length);
    refuseEarly(request, response, prepared.error);
  }
}

/** Removes scheme and host from a request target in absolute form (RFC 9112 section 3.2.2). */
function originForm(url: string): string {
  const match = ABSOLUTE_FORM.exec(url);
  if (match === null) return url;
  const pathAndQuery = url.slice(match[0].length);
  return pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`;
}

function pathOf(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}
