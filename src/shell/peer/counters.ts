/** Counters of the messages that the transport has sent, received and dropped since its start. */

/** Why a message or connection was dropped. */
export type DropReason =
  | 'unauthenticated'
  | 'malformed'
  | 'oversize'
  | 'queue-full'
  | 'unreachable'
  | 'too-many-connections';

/** Running totals. Byte counts cover datagrams and frames without IP, UDP and TCP headers. */
export interface PeerCounters {
  datagramsSent: number;
  datagramsReceived: number;
  framesSent: number;
  framesReceived: number;
  bytesSent: number;
  bytesReceived: number;
  readonly dropped: Record<DropReason, number>;
}

/** Creates counters that are all zero. */
export function createCounters(): PeerCounters {
  return {
    datagramsSent: 0,
    datagramsReceived: 0,
    framesSent: 0,
    framesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: {
      unauthenticated: 0,
      malformed: 0,
      oversize: 0,
      'queue-full': 0,
      unreachable: 0,
      'too-many-connections': 0,
    },
  };
}
