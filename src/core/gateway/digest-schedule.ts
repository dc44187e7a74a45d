/**
 * Decides when a relay sends its digest of the store's tables, and to whom: to its zone at once after a change and
 * otherwise as a periodic heartbeat; to the whole fleet only with every ninth digest.
 */

/** How far a daemon has followed a table of the store. */
export interface TableProgress {
  /** The store's era; the revisions below are comparable only within this era. */
  readonly era: number;
  /** The revision at which the table was last seen to change. */
  readonly changed: number;
  /** The revision up to which the table has been followed; no change lies between `changed` and this revision. */
  readonly seen: number;
  /** The revision of the last full read after a disturbance; changes followed before that read may be incomplete. */
  readonly reread: number;
}

/** How far a relay has seen the store's tables change. */
export interface TableDigest {
  readonly configurations: TableProgress;
  readonly servers: TableProgress;
  /** The configuration version that the relay has in force; 0 if it has none or does not report one. */
  readonly configurationVersion: number;
  /** The age of the relay's last contact with the store, in milliseconds. */
  readonly ageMs: number;
  /** A checksum of the relay's list of daemons; 0 before the relay has read one. */
  readonly peersChecksum: number;
}

/** Who receives a digest. */
export type DigestAudience = 'nobody' | 'zone' | 'everyone';

const DIGEST_INTERVAL_MS = 400;
/**
 * The first digest and every ninth after it go to the whole fleet. Only relays need to know the relays of other zones,
 * and relays learn of each other from their load sums; the broadcast is for a daemon that has just become a relay.
 */
const BROADCAST_EVERY = 9;

/** Remembers the last digest that this relay sent. */
export class DigestSchedule {
  #lastSent: TableDigest | undefined;
  #lastSentAtMs = Number.NEGATIVE_INFINITY;
  #sentCount = 0;

  /** Who is to receive this digest now. Unless that is nobody, the digest is recorded as sent. */
  next(digest: TableDigest, nowMs: number): DigestAudience {
    if (!this.#hasChanged(digest) && nowMs - this.#lastSentAtMs < DIGEST_INTERVAL_MS)
      return 'nobody';
    this.#lastSent = digest;
    this.#lastSentAtMs = nowMs;
    this.#sentCount += 1;
    return this.#sentCount % BROADCAST_EVERY === 1 ? 'everyone' : 'zone';
  }

  #hasChanged(digest: TableDigest): boolean {
    const lastSent = this.#lastSent;
    if (lastSent === undefined) return true;
    if (digest.configurationVersion > lastSent.configurationVersion) return true;
    return (
      isAhead(digest.configurations, lastSent.configurations) ||
      isAhead(digest.servers, lastSent.servers)
    );
  }
}

function isAhead(digest: TableProgress, lastSent: TableProgress): boolean {
  if (digest.era !== lastSent.era) return digest.era > lastSent.era;
  return digest.changed > lastSent.changed || digest.reread > lastSent.reread;
}
