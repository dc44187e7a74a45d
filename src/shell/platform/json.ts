/** Parses JSON from untrusted bytes. */

/** The parsed value, or undefined if the bytes are not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
