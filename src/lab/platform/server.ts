/** The emulated platform over HTTP; the model decides on refusals, delays and losses. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as wait } from 'node:timers/promises';
import type { Endpoint } from '../../core/registry/backend.js';
import { type Answer, errorAnswer, jsonAnswer, readBody, send } from './http-exchange.js';
import { DEFAULT_PLATFORM_OPTIONS, PlatformModel, type PlatformOptions } from './model.js';
import { type Route, route } from './routes.js';
import type { Admission } from './service-gate.js';

/** A running emulated platform. */
export interface PlatformServer extends Endpoint {
  /** The state of the services, for tests that set faults in the same process. */
  readonly model: PlatformModel;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Starts an emulated platform on an IP address; port 0 selects a free port. */
export async function createPlatformServer(
  listen: Endpoint,
  options: PlatformOptions = DEFAULT_PLATFORM_OPTIONS,
): Promise<PlatformServer> {
  const model = new PlatformModel(options);
  const server = createServer((request, response) => {
    serve(model, request, response).catch(() => request.socket.destroy());
  });
  await listening(server, listen);
  const { address, port } = server.address() as AddressInfo;
  return { model, address, port, close: () => closed(server) };
}

async function serve(
  model: PlatformModel,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const found = route(request.method ?? '', request.url ?? '');
  if (found === null) return send(response, errorAnswer(404, 'no such call'));
  const body = await readBody(request, found.maxBodyBytes);
  if (body === null) return send(response, errorAnswer(413, 'the body is too large'));
  const answer = await carryOut(model, found, body);
  if (answer === null) request.socket.destroy();
  else send(response, answer);
}

/** Admits and applies a call; null if the connection must break instead of an answer. */
async function carryOut(model: PlatformModel, found: Route, body: Buffer): Promise<Answer | null> {
  if (found.service === null) return found.apply(model, body, performance.now());
  const admission = model.admit(found.service, found.writes, performance.now());
  if (admission.kind === 'refused') return refusal(admission);
  if (admission.delayMs > 0) await wait(admission.delayMs, undefined, { ref: false });
  if (admission.lost === 'call') return null;
  const answer = found.apply(model, body, performance.now());
  if (admission.answerDelayMs > 0) await wait(admission.answerDelayMs, undefined, { ref: false });
  return admission.lost === 'answer' ? null : answer;
}

function refusal(admission: Admission & { kind: 'refused' }): Answer {
  const message = admission.status === 429 ? 'over the rate' : 'the service is down';
  const headers = { 'retry-after-ms': String(admission.retryAfterMs) };
  return jsonAnswer(admission.status, { error: { message } }, headers);
}

function listening(server: Server, listen: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.address, resolve);
  });
}

function closed(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
