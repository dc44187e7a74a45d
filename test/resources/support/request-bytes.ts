/** Requests as they are on the wire (RFC 9112), whole or cut off. */
import { openHead as openWireHead, type WireHeaders } from '../../../soak/wire-requests.js';
import { HOST } from './real-configuration.js';

const MODEL_HEADERS = { 'X-Model': 'm', 'X-Token-Count': '300,4', 'X-Prompt-Prefix': 'cc:300' };

let requests = 0;

/** A path of one of the routes, and the headers that its requests need. */
export interface Target {
  readonly path: string;
  readonly headers: WireHeaders;
}

export const WEB: Target = { path: '/web/1', headers: {} };
export const MODEL: Target = { path: '/model/1', headers: MODEL_HEADERS };
export const UNKNOWN: Target = { path: '/nowhere/1', headers: {} };

/** The head of a request, with an id of its own and the empty line at its end. */
export function head(method: string, target: Target, headers: WireHeaders): string {
  return `${openHead(method, target, headers)}\r\n`;
}

/** The head of a request without the empty line at its end. */
export function openHead(method: string, { path, headers }: Target, more: WireHeaders): string {
  requests += 1;
  const all = { Host: HOST, 'X-Attempt-Id': `raw-${requests}`, ...headers, ...more };
  return openWireHead(method, path, all);
}

/** The head of a request whose body comes in chunks. */
export function chunkedHead(target: Target): string {
  return head('POST', target, { 'Transfer-Encoding': 'chunked' });
}
