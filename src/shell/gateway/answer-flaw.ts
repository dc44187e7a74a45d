/** Tells answers from what an HTTP client takes for one. */
import http, { type IncomingMessage } from 'node:http';
import { isFinalStatus } from '../../core/gateway/index.js';
import { answerFraming } from '../http/answer-framing.js';

/** Why what arrived in reply to a request with this method is no answer; undefined if it is one. */
export function answerFlaw(method: string, message: IncomingMessage): string | undefined {
  const { statusCode = 0, headers, rawHeaders } = message;
  if (!isFinalStatus(statusCode)) return `status ${statusCode} is no final answer`;
  const framing = answerFraming(method, statusCode, headers);
  if (framing === 'unknown-coding') return 'its transfer coding is not chunked';
  return headerFlaw(rawHeaders);
}

/**
 * What is wrong with a header that Node.js reads and refuses to write. Its name may be spoiled, and have been that of the
 * header which frames the body.
 */
function headerFlaw(rawHeaders: readonly string[]): string | undefined {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      http.validateHeaderName(name);
      http.validateHeaderValue(name, rawHeaders[index + 1] ?? '');
    }
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
