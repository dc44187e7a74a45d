/**
 * Refuses a request whose body has not been read completely. The rest of the body is read and
 * discarded before the connection is closed: closing a socket with unread bytes in its receive
 * buffer resets the connection, and the caller might lose the answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import { faultResponse } from './fault-http.js';

/** The maximum number of body bytes that are read and discarded after a refusal. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
/** A caller that sends nothing for this time has stopped, or reads the answer. */
const DISCARD_STALL_MS: Milliseconds = 1_000;

/** Answers with a fault at once, then discards a limited amount of the body and closes. */
export function refuseEarly(
  request: IncomingMessage,
  response: ServerResponse,
  fault: Fault,
): void {
  const { status, headers, body } = faultResponse(fault);
  if (request.complete || hasNoBody(request)) {
    response.writeHead(status, headers);
    response.end(body);
    return;
  }
  response.writeHead(status, { ...headers, connection: 'close' });
  response.write(body);
  discardBody(request, () => response.end());
}

/** As `refuseEarly`, and releases the objects of the request's head, which is not looked at any more. */
export function refuseForgotten(
  request: IncomingMessage,
  response: ServerResponse,
  fault: Fault,
): void {
  refuseEarly(request, response, fault);
  request.headers = {};
  request.rawHeaders = [];
}

function hasNoBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

function discardBody(request: IncomingMessage, done: () => void): void {
  const stall = setTimeout(done, DISCARD_STALL_MS);
  const end = (): void => {
    clearTimeout(stall);
    done();
  };
  let discarded = 0;
  request.on('data', (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > MAX_DISCARDED_BYTES) end();
    else stall.refresh();
  });
  request.on('end', end);
  request.on('close', end);
  request.on('error', end);
  request.resume();
}
