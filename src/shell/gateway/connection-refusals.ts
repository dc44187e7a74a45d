/**
 * Ends connections on which no whole request can be read. The answer's status promises that nothing was run, so it is sent only
 * where the connection owes no answer to a request that may have run.
 */
import type { Socket } from 'node:net';
import type { ClientError } from '../http/client-error.js';
import type { PendingAnswers } from '../http/pending-answers.js';

/** A status with its reason phrase. */
const STATUS_LINES = {
  400: '400 Bad Request',
  408: '408 Request Timeout',
  413: '413 Payload Too Large',
  431: '431 Request Header Fields Too Large',
  503: '503 Service Unavailable',
} as const;

/** The status of a refusal. */
export type ConnectionStatus = keyof typeof STATUS_LINES;

/** Answers with a status where that is true of all that the connection has sent, and closes the connection. */
export function refuseConnection(
  socket: Socket,
  answers: Pick<PendingAnswers, 'onlyIncomplete' | 'countOf'>,
  status: ConnectionStatus,
  headers: readonly string[] = [],
): void {
  const isAnswerable = answers.countOf(socket) === 0 || answers.onlyIncomplete(socket);
  if (socket.writable && isAnswerable) {
    const lines = [`HTTP/1.1 ${STATUS_LINES[status]}`, ...headers, 'Connection: close', '', ''];
    socket.write(lines.join('\r\n'));
  }
  socket.destroy();
}

/** The status for what node:http reports in `clientError`. */
export function statusOf({ code }: ClientError): ConnectionStatus {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return 431;
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW':
      return 413;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 408;
    default:
      return 400;
  }
}
