/** Helpers over node:http for the emulated platform: request bodies and answers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** An answer that has not been sent yet. */
export interface Answer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
}

/** An answer with a JSON body. */
export function jsonAnswer(
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): Answer {
  return {
    status,
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(value),
  };
}

/** An error answer. */
export function errorAnswer(status: number, message: string): Answer {
  return jsonAnswer(status, { error: { message } });
}

/** Reads a complete body; null if it is longer than `maxBytes`. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes <= maxBytes) chunks.push(chunk);
  }
  return bytes <= maxBytes ? Buffer.concat(chunks) : null;
}

/** Sends an answer with its `content-length`. */
export function send(response: ServerResponse, answer: Answer): void {
  const body = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body;
  response.writeHead(answer.status, { ...answer.headers, 'content-length': body.length });
  response.end(body);
}

/** Parses a JSON body; undefined if it is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
