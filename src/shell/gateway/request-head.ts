/** The head of a request as it takes memory. */
import type { IncomingMessage } from 'node:http';
import type { HeaderSize } from '../../core/gateway/index.js';

/** A colon, a space and the end of the line. */
const HEADER_OVERHEAD_BYTES = 4;

/** The headers of a request as they are on the wire. */
export function headerSizeOf({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): HeaderSize {
  const count = rawHeaders.length / 2;
  let bytes = count * HEADER_OVERHEAD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return { count, bytes };
}

/** Gives back the memory of the headers of a request that is rejected; nothing can be read of them afterwards. */
export function dropHeaders(request: IncomingMessage): void {
  request.rawHeaders.length = 0;
  request.headers = {};
}
