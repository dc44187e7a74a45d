/** Requests as they are on the wire (RFC 9112), whole or cut off. */

/** Headers by their names. */
export type WireHeaders = Readonly<Record<string, string>>;

const NAME_BASE = 36;
/** The first name of three digits whose first one is a letter that few known headers begin with. */
const FIRST_NAME = NAME_BASE * NAME_BASE * 20;
const ONE_BYTE_CHUNK = '1\r\nx\r\n';

/** The head of a request without the empty line at its end. */
export function openHead(method: string, path: string, headers: WireHeaders): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}`;
}

/** The head of a request. */
export function wholeHead(method: string, path: string, headers: WireHeaders): string {
  return `${openHead(method, path, headers)}\r\n`;
}

/** Chunks of one length, without the last one, which ends the body. */
export function chunks(count: number, bytes: number): Buffer {
  const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  return Buffer.from(chunk.repeat(count));
}

/** The chunks of a body of this length, one byte each, without its end. */
export function tinyChunks(bytes: number): Buffer {
  return Buffer.from(ONE_BYTE_CHUNK.repeat(bytes));
}

/** Headers of four bytes each, with names of three characters that differ. */
export function smallHeaders(count: number): WireHeaders {
  const names = Array.from({ length: count }, (_, index) =>
    (FIRST_NAME + index).toString(NAME_BASE),
  );
  return Object.fromEntries(names.map((name) => [name, 'v']));
}
