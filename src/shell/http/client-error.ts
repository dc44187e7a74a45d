/** Answers malformed HTTP requests and requests that did not arrive in time. */
import type { Socket } from 'node:net';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import { faultResponse } from './fault-http.js';

/** The error of node:http's `clientError` event. */
export interface ClientError extends Error {
  readonly code?: string;
}

/** Answers with a typed error if the socket is still writable, then closes the connection. */
export function answerClientError(error: ClientError, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const { status, headers, body } = faultResponse(faultOf(error));
  const lines = Object.entries({ ...headers, connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  socket.end(`HTTP/1.1 ${status} Refused\r\n${lines.join('')}\r\n${body}`, () => socket.destroy());
}

function faultOf(error: ClientError): Fault {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return HEADERS_TOO_LARGE;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return TOO_SLOW;
    default:
      return MALFORMED;
  }
}

const HEADERS_TOO_LARGE = refusedNotRun(
  'headers-too-large',
  'The request line and headers are too large. Send fewer or shorter headers.',
);

const TOO_SLOW = refusedNotRun(
  'body-timeout',
  'The request did not arrive whole in time. Send it again over a faster connection.',
  { retryable: true },
);

const MALFORMED = refusedNotRun(
  'invalid-request',
  'This is not a well-formed HTTP/1.1 request. State the body by exactly one of a correct Content-Length or Transfer-Encoding: chunked.',
);
