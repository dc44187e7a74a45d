/**
 * What became of one request's sends to servers, as text for the log line at its end. It tells which sends counted as
 * runs, and by whose answer a send did not.
 */
import type { SendStep } from './send-meter.js';

/** Further sends of a request are only counted. */
const MAX_LISTED_SENDS = 8;

/** Where an answer came from. */
export interface AnswerOrigin {
  /** The request id that the answer carried; undefined if it carried none. */
  readonly requestId: string | undefined;
  /** Whether it arrived on a connection that had carried an earlier request. */
  readonly isReusedConnection: boolean;
}

/** One send of a request. */
export interface SendRecord {
  readonly serverId: string;
  readonly step: SendStep;
  /** `answered`, `not-executed`, `broken`, `not-sent`, `held-back`. */
  readonly result: string;
  /** Undefined if no answer arrived. */
  readonly origin: AnswerOrigin | undefined;
}

/** The sends in order, such as `run i-1 not-executed, run i-2 answered (reused)`. */
export function formatSends(sends: readonly SendRecord[], requestId: string): string {
  const listed = sends.slice(0, MAX_LISTED_SENDS).map((send) => formatSend(send, requestId));
  const more = sends.length - listed.length;
  return [...listed, ...(more > 0 ? [`${more} more`] : [])].join(', ');
}

function formatSend({ serverId, step, result, origin }: SendRecord, requestId: string): string {
  const notes: string[] = [];
  if (origin?.isReusedConnection === true) notes.push('reused');
  if (origin !== undefined && origin.requestId !== requestId) {
    notes.push(`answer to ${origin.requestId ?? 'no request'}`);
  }
  const text = `${step} ${serverId} ${result}`;
  return notes.length === 0 ? text : `${text} (${notes.join('; ')})`;
}
