/**
 * Message authentication with the fleet key: HMAC-SHA-256 truncated to 16 bytes. A tag covers the
 * channel and, on a stream, the connection and the frame's position in it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

/** The length of a tag in bytes. */
export const TAG_BYTES = 16;

/** The kind of data that a tag covers, so that a tag for one kind is invalid for another. */
export type TagPurpose = 'datagram' | 'frame-length' | 'frame-content';

const PURPOSE_BYTE: Readonly<Record<TagPurpose, number>> = {
  datagram: 1,
  'frame-length': 2,
  'frame-content': 3,
};

/** Creates and verifies tags. */
export interface Authenticator {
  tag(purpose: TagPurpose, ...parts: readonly Buffer[]): Buffer;
  /** Compares in constant time. */
  matches(tag: Buffer, purpose: TagPurpose, ...parts: readonly Buffer[]): boolean;
}

/** Derives the peer protocol's own key from the fleet key. */
export function createAuthenticator(fleetKey: string): Authenticator {
  const key = createHmac('sha256', fleetKey).update('threadfork peer protocol 1').digest();
  const tag = (purpose: TagPurpose, ...parts: readonly Buffer[]): Buffer => {
    const hmac = createHmac('sha256', key);
    hmac.update(Buffer.of(PURPOSE_BYTE[purpose]));
    for (const part of parts) {
      hmac.update(part);
    }
    return hmac.digest().subarray(0, TAG_BYTES);
  };
  return {
    tag,
    matches: (given, purpose, ...parts) =>
      given.length === TAG_BYTES && timingSafeEqual(given, tag(purpose, ...parts)),
  };
}
