/** Chunked bodies (RFC 9112 section 7.1) in chunks of one byte, written to the socket as they are on the wire. */
import type { ServerResponse } from 'node:http';
import type { Writable } from 'node:stream';

const ONE_BYTE_CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_WRITE = 10_000;
const WRITE = Buffer.from(ONE_BYTE_CHUNK.repeat(CHUNKS_PER_WRITE));

/** @returns the chunks of a body of this length, without its end */
export function tinyChunks(bytes: number): Buffer {
  return Buffer.from(ONE_BYTE_CHUNK.repeat(bytes));
}

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
