/** What marks the end of an answer's body (RFC 9112 section 6.3). */
import type { IncomingHttpHeaders } from 'node:http';

/** What marks the end of an answer's body. */
export type AnswerFraming =
  /** The head: such an answer has no body, whatever its headers say. */
  | 'head'
  | 'length'
  | 'chunks'
  /** Only the end of the connection, so that a truncated answer cannot be told from a complete one. */
  | 'close'
  /** The body is in a transfer coding that no request asks for, so its bytes are not those of the answer. */
  | 'unknown-coding';

/** A coding without effect, of RFC 2616; with it alone the body is as without a coding. */
const IDENTITY = 'identity';

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether a final answer with this status to a request with this method has a body. */
export function mayHaveBody(method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}

/** What marks the end of an answer to a request with this method. */
export function answerFraming(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): AnswerFraming {
  if (!mayHaveBody(method, status)) return 'head';
  const codings = transferCodings(headers);
  const [only = IDENTITY] = codings;
  if (codings.length > 1) return 'unknown-coding';
  if (only === 'chunked') return 'chunks';
  if (only !== IDENTITY) return 'unknown-coding';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** In the order in which they were applied, in lower case. An HTTP client gives repeated headers as one text or a list. */
function transferCodings(headers: IncomingHttpHeaders): readonly string[] {
  const text = String(headers['transfer-encoding'] ?? '')
    .trim()
    .toLowerCase();
  return text === '' ? [] : text.split(',').map((coding) => coding.trim());
}
