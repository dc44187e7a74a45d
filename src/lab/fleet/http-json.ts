/** HTTP requests with JSON bodies, for the fleet runner. */
import { request } from 'undici';
import type { Endpoint } from '../../core/registry/backend.js';
import { formatEndpoint } from '../../shell/settings/index.js';

/** Longer than a daemon takes to answer a configuration change with its outcome. */
const TIMEOUT_MS = 30_000;

/** The status and JSON body of an answer. */
export interface JsonAnswer {
  readonly status: number;
  /** Undefined if the body is not JSON. */
  readonly json: unknown;
}

/** Posts a JSON body. Rejects if no answer arrives. */
export function postJson(to: Endpoint, path: string, body: unknown): Promise<JsonAnswer> {
  return callJson(to, 'POST', path, JSON.stringify(body));
}

/** Gets a path. Rejects if no answer arrives. */
export function getJson(from: Endpoint, path: string): Promise<JsonAnswer> {
  return callJson(from, 'GET', path, null);
}

async function callJson(
  endpoint: Endpoint,
  method: 'GET' | 'POST',
  path: string,
  body: string | null,
): Promise<JsonAnswer> {
  const answer = await request(`http://${formatEndpoint(endpoint)}${path}`, {
    method,
    body,
    headers: body === null ? {} : { 'content-type': 'application/json' },
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, json: parse(text) };
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
