/** Chunked bodies (RFC 9112 section 7.1) in chunks of one byte, written to the socket as they are on the wire. */
import type { ServerResponse } from 'node:http';
import type { Writable } from 'node:stream';
import { tinyChunks } from '../../../soak/wire-requests.js';

export { tinyChunks };

const WRITE = tinyChunks(10_000);

/** Sends the head of an answer, and chunks of one byte until its connection is closed. */
export function writeTinyChunksWithoutEnd(response: ServerResponse): void {
  response.flushHeaders();
  const { socket } = response;
  if (socket === null) return;
  writeWithoutEnd(socket);
}

function writeWithoutEnd(socket: Writable): void {
  const write = () => {
    while (!socket.destroyed && socket.write(WRITE)) {
      // Goes on until the system takes no more.
    }
  };
  socket.on('error', () => socket.destroy());
  socket.on('drain', write);
  write();
}
