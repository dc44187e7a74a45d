/**
 * Bounds what a server may send before the head of its answer. node:http bounds each head, but not how many interim answers
 * (RFC 9110 section 15.2) or empty lines come before the final one.
 */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Room for hundreds of interim answers; several times the longest head that node:http reads. */
const MAX_BYTES_BEFORE_ANSWER = 65_536;

/** Ends a request with an error once its server has sent more than fits before an answer. To be called before it is sent. */
export function limitAnswerHead(request: ClientRequest): void {
  request.once('socket', (socket) => limitBytesBeforeAnswer(request, socket));
}

function limitBytesBeforeAnswer(request: ClientRequest, socket: Socket): void {
  let bytes = 0;
  let isOver = false;
  const count = (chunk: Buffer) => {
    // A chunk that ends the head still gets here, and may hold a part of the body.
    if (isOver) return;
    bytes += chunk.length;
    if (bytes > MAX_BYTES_BEFORE_ANSWER) request.destroy(new Error('bytes without an answer'));
  };
  const end = () => {
    isOver = true;
    socket.off('data', count);
  };
  socket.on('data', count);
  request.once('response', end);
  request.once('close', end);
}
