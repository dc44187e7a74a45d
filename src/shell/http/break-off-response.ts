/** Ends answers that are not complete. */
import type { ServerResponse } from 'node:http';
import { resetSocket } from './reset-socket.js';

/**
 * Closes the connection of an answer that is not complete. In an answer with neither a length nor chunks the end of the
 * connection marks the end (RFC 9112 section 6.3), so only a reset shows that it is truncated. Otherwise the framing shows
 * it, and a reset would discard what is on its way.
 */
export function breakOffResponse(response: ServerResponse): void {
  const { socket } = response;
  const isUnfinished = response.headersSent && !response.writableFinished;
  if (isUnfinished && mayEndWithConnection(response) && socket !== null) resetSocket(socket);
  response.destroy();
}

/** Whether an answer without a length has no chunks either: to a caller of HTTP/1.0, or as the backend's had none. */
function mayEndWithConnection(response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault && !response.chunkedEncoding;
}
