/** The head of a request as it takes memory. */
import type { IncomingMessage } from 'node:http';
import type { HeaderSize } from '../../core/gateway/index.js';

/** A colon, a space and the end of the line. */
const HEADER_OVERHEAD_BYTES = 4;
/** Two spaces, the protocol's version, the end of the line and the blank line after the headers. */
const REQUEST_LINE_OVERHEAD_BYTES = 14;

/** The headers of a request as they are on the wire. */
export function headerSizeOf({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): HeaderSize {
  const count = rawHeaders.length / 2;
  let bytes = count * HEADER_OVERHEAD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return { count, bytes };
}

/** What a head takes on the wire at least, in the usual spelling. */
export function headBytesOf(request: IncomingMessage): number {
  const { method = '', url = '' } = request;
  return method.length + url.length + REQUEST_LINE_OVERHEAD_BYTES + headerSizeOf(request).bytes;
}

/** Gives back the memory of the headers of a request that is rejected; nothing can be read of them afterwards. */
export function dropHeaders(request: IncomingMessage): void {
  request.rawHeaders.length = 0;
  request.headers = {};
}
