/** Finds out what a caller's request is for, reads its body and takes it in or refuses it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import { type BodyBudget, readBody } from './body-reader.js';
import { type Caller, identifyCaller, NOT_CONFIGURED } from './caller-options.js';
import type { ConfigurationIndex } from './configuration-index.js';
import { refuseEarly } from './early-refusal.js';
import type { HttpLimits } from './limits.js';
import type { CompletionShape } from './model-call.js';
import { answerPage, METHOD_NOT_ALLOWED, type PageSources, UNKNOWN_ROUTE } from './pages.js';
import {
  type Arrival,
  MODEL_PATHS,
  type PreparedRequest,
  prepareModelRequest,
  prepareWebRequest,
} from './request-preparation.js';

const ABSOLUTE_FORM = /^https?:\/\/[^/?]*/i;

/** What the routes need of the server. */
export interface RouteHost {
  readonly limits: HttpLimits;
  readonly bodies: BodyBudget;
  readonly pages: PageSources;
  now(): MonotonicMs;
  nextId(): RequestId;
  /** The look-ups of the configuration in force now. */
  index(): ConfigurationIndex;
  /** Takes over a request; its body stays counted in `bodies` until the request is over. */
  startRequest(intake: PreparedRequest, response: ServerResponse): void;
}

type PrepareRequest = (arrival: Arrival, caller: Caller) => Result<PreparedRequest, Fault>;

/** The routes of one server. */
export class CallerRoutes {
  readonly #host: RouteHost;

  constructor(host: RouteHost) {
    this.#host = host;
  }

  /** Handles a request whose headers have come. */
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
    this.#take(request, response, path, caller, (arrival, known) =>
      prepareModelRequest(arrival, shape, known, this.#host.limits.maxOutputTokens),
    );
  }

  /** A web request's Authorization header may be the service's own. */
  #handleWeb(request: IncomingMessage, response: ServerResponse, path: string): void {
    const index = this.#host.index();
    const route = index.routeOf(path);
    if (route === undefined) {
      // Before any configuration nothing is known of routes: not a 404 that a client would keep.
      const fault = index.version === 0 ? NOT_CONFIGURED : UNKNOWN_ROUTE;
      refuseEarly(request, response, fault);
      return;
    }
    const caller = identifyCaller(index, request.headers, true);
    this.#take(request, response, path, caller, (arrival, known) =>
      prepareWebRequest(arrival, route, known),
    );
  }

  #take(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    caller: Result<Caller, Fault>,
    takeIn: PrepareRequest,
  ): void {
    if (caller.isErr()) {
      refuseEarly(request, response, caller.error);
      return;
    }
    const { limits, bodies } = this.#host;
    readBody(request, limits.maxBodyBytes, bodies, (result) => {
      if (result.kind === 'refused') refuseEarly(request, response, result.fault);
      if (result.kind !== 'body') return;
      this.#takeWhole(request, response, path, result.body, caller.value, takeIn);
    });
  }

  #takeWhole(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    body: Buffer,
    caller: Caller,
    takeIn: PrepareRequest,
  ): void {
    const host = this.#host;
    const id = host.nextId();
    const taken = takeIn({ id, request, path, body, now: host.now(), index: host.index() }, caller);
    if (taken.isOk()) {
      host.startRequest(taken.value, response);
      return;
    }
    host.bodies.release(body.length);
    refuseEarly(request, response, taken.error);
  }
}

/** The path and query of a target that also names scheme and host (RFC 9112 section 3.2.2). */
function originForm(url: string): string {
  const match = ABSOLUTE_FORM.exec(url);
  if (match === null) return url;
  const rest = url.slice(match[0].length);
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function pathOf(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}
