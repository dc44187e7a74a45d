/** Reads the bodies of requests to simulated services. */
import type { IncomingMessage } from 'node:http';

/** The complete body; undefined if the connection broke before the end of the body, so that no response can be sent. */
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}
