/** The pages that the daemon serves itself: models, health, readiness and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { refusedNotRun } from '../../core/errors/fault.js';
import { identifyCaller } from './caller-options.js';
import type { ConfigurationIndex } from './configuration-index.js';
import { refuseEarly } from './early-refusal.js';

/** The daemon's data that the pages show. */
export interface PageSources {
  readiness(): { readonly ready: boolean; readonly reason: string };
  metricsText(): Promise<string>;
}

/** The answer to a known path with a method that it does not support. */
export const METHOD_NOT_ALLOWED = refusedNotRun(
  'method-not-allowed',
  'This path takes another method. docs/CALLER-API.md lists them.',
);

/** The answer to a path that is neither the model API nor a route. */
export const UNKNOWN_ROUTE = refusedNotRun(
  'unknown-route',
  'Nothing is served under this path. Check it, or ask the operator for a route.',
);

const METRICS_FAILED = refusedNotRun(
  'internal',
  'The metrics could not be collected. Try again; if it repeats, look at the log.',
  { retryable: true },
);

const PAGES: ReadonlySet<string> = new Set(['/v1/models', '/healthz', '/readyz', '/metrics']);

/** Whether a path is a page. */
export function isPage(path: string): boolean {
  return PAGES.has(path);
}

/** Answers a request for a page; returns false when the path is not a page. */
export function answerPage(
  request: IncomingMessage,
  response: ServerResponse,
  path: string,
  sources: PageSources,
  index: ConfigurationIndex,
): boolean {
  if (!isPage(path)) return false;
  if (request.method !== 'GET' && request.method !== 'HEAD') {
    refuseEarly(request, response, METHOD_NOT_ALLOWED);
    return true;
  }
  if (path === '/healthz') sendJson(response, 200, { status: 'ok' });
  else if (path === '/readyz') answerReadiness(response, sources);
  else if (path === '/metrics') answerMetrics(request, response, sources);
  else answerModels(request, response, index);
  return true;
}

function answerReadiness(response: ServerResponse, sources: PageSources): void {
  const readiness = sources.readiness();
  sendJson(response, readiness.ready ? 200 : 503, readiness);
}

function answerMetrics(
  request: IncomingMessage,
  response: ServerResponse,
  sources: PageSources,
): void {
  sources.metricsText().then(
    (text) => send(response, 200, 'text/plain; version=0.0.4; charset=utf-8', text),
    () => refuseEarly(request, response, METRICS_FAILED),
  );
}

function answerModels(
  request: IncomingMessage,
  response: ServerResponse,
  index: ConfigurationIndex,
): void {
  const caller = identifyCaller(index, request.headers, false);
  if (caller.isErr()) {
    refuseEarly(request, response, caller.error);
    return;
  }
  const data = [...index.models].map(([id, served]) => ({
    id,
    object: 'model',
    created: 0,
    owned_by: 'threadfork',
    parent: served.adapter === null ? null : served.model,
  }));
  sendJson(response, 200, { object: 'list', data });
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  send(response, status, 'application/json', JSON.stringify(value));
}

function send(response: ServerResponse, status: number, type: string, body: string): void {
  response.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(body) });
  response.end(body);
}
