/** Reads the body of a daemon's answer, up to a limit. */
import { ByteCollector } from '../shell/bytes/index.js';

/** Some times the answer to a query for all of the largest fleet planned for. */
const MAX_ANSWER_BYTES = 67_108_864;

/** The body as text; rejects if it is too large or breaks off. */
export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const collected = new ByteCollector();
  for await (const chunk of body) {
    collected.add(chunk);
    if (collected.length > MAX_ANSWER_BYTES) {
      throw new Error(
        `the answer is over ${MAX_ANSWER_BYTES} bytes; check that the address is a daemon's`,
      );
    }
  }
  return collected.join().toString('utf8');
}
