/** Crowds: callers that come at once and do not behave. */

export const CROWD_KINDS = [
  /** Bodies in chunks of one byte, without their end. */
  'tiny-chunks',
  /** Bodies in large chunks, without their end. */
  'large-chunks',
  /** Bodies that have a length and are not sent. */
  'declared-lengths',
  /** Many small headers, and a body that lacks its last byte. */
  'small-headers',
  /** Heads that do not end and are longer than the configuration allows. */
  'unfinished-heads',
  /** Thousands of requests that do not wait for answers. */
  'pipelined',
  /** Connections that are reset after a short time. */
  'brief-connections',
  /** Streams with long events that are not read. */
  'unread-streams',
] as const;

export type CrowdKind = (typeof CROWD_KINDS)[number];

/** A crowd at each of some daemons. */
export interface CrowdFault {
  readonly kind: 'crowd';
  readonly crowd: CrowdKind;
  readonly daemons: readonly number[];
  /** Connections to each daemon. */
  readonly callers: number;
  /** Whether callers connect again once their connection is closed. */
  readonly comeBack: boolean;
  /** Time until the callers leave. */
  readonly forMs: number;
}
