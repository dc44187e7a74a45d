/** The body of a request to a stand-in. */
import type { IncomingMessage } from 'node:http';

/** The whole body; undefined where it was broken off before it had arrived, so that there is nobody to answer. */
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}
