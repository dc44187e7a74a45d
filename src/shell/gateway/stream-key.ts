/** Ids of streams: callers choose them, so they may be of any length. */
import { createHash } from 'node:crypto';
import type { RequestDescription } from '../../core/gateway/index.js';

/** Longer ids are hashed, which keeps records and datagrams small. */
const MAX_KEY_LENGTH = 64;

/** The caller's attempt that brought, or brings, the first event of the stream of a request. */
export function streamIdOf({ attemptId, resumption }: RequestDescription): string {
  return resumption?.streamId ?? attemptId;
}

/** The key of a stream in records and messages. */
export function streamKeyOf(streamId: string): string {
  if (streamId.length <= MAX_KEY_LENGTH) return streamId;
  return createHash('sha256').update(streamId).digest('hex');
}
