/** Requests as they are on the wire (RFC 9112), whole or cut off. */
import { HOST } from './real-gateway.js';

/** Headers by their names. */
type Headers = Readonly<Record<string, string>>;

const MODEL_HEADERS = { 'X-Model': 'm', 'X-Token-Count': '300,4', 'X-Prompt-Prefix': 'cc:300' };
const NAME_BASE = 36;
const FIRST_NAME = 1_296 * 20;

let requests = 0;

/** A path of one of the routes, and the headers that its requests need. */
export interface Target {
  readonly path: string;
  readonly headers: Headers;
}

export const WEB: Target = { path: '/web/1', headers: {} };
export const MODEL: Target = { path: '/model/1', headers: MODEL_HEADERS };
export const UNKNOWN: Target = { path: '/nowhere/1', headers: {} };

/** The head of a request, with an id of its own and the empty line at its end. */
export function head(method: string, target: Target, headers: Headers): string {
  return `${openHead(method, target, headers)}\r\n`;
}

/** The head of a request without the empty line at its end. */
export function openHead(method: string, { path, headers }: Target, more: Headers): string {
  requests += 1;
  const all = { Host: HOST, 'X-Attempt-Id': `raw-${requests}`, ...headers, ...more };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}`;
}

/** The head of a request whose body comes in chunks. */
export function chunkedHead(target: Target): string {
  return head('POST', target, { 'Transfer-Encoding': 'chunked' });
}

/** Chunks of one length, without the last one, which ends the body. */
export function chunks(count: number, bytes: number): Buffer {
  const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  return Buffer.from(chunk.repeat(count));
}

/** Headers of four bytes each, with names of three characters that differ. */
export function smallHeaders(count: number): Headers {
  const names = Array.from({ length: count }, (_, index) =>
    (FIRST_NAME + index).toString(NAME_BASE),
  );
  return Object.fromEntries(names.map((name) => [name, 'v']));
}
