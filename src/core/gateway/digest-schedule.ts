/**
 * When a relay tells how far it has seen the store's tables change: at once when one has changed, and now
 * and then as a sign of life; other zones need only the sign of life, and more seldom.
 */

/** How far a daemon has followed a table of the store. */
export interface TableProgress {
  /** That of the store, which all revisions are of. */
  readonly era: number;
  /** The revision at which the table was last seen to change. */
  readonly changed: number;
  /** The revision up to which nothing else has changed. */
  readonly seen: number;
  /** Where it was read whole after a disturbance; what was followed before may lack changes. */
  readonly reread: number;
}

/** How far a relay has seen the store's tables change. */
export interface TableDigest {
  readonly configurations: TableProgress;
  readonly servers: TableProgress;
  /** The version of the configuration that it has in force; 0 where it has none, or does not say. */
  readonly configurationVersion: number;
  /** How old its newest look at the store is. */
  readonly ageMs: number;
  /** A checksum of the list of daemons that it has; 0 before the first. */
  readonly peersChecksum: number;
}

/** Who is told. */
export type DigestAudience = 'nobody' | 'zone' | 'everyone';

const GAP_MS = 400;
/**
 * The first time and each so-many-th one everyone is told. Only relays need to know the relays of other
 * zones, and those hear each other's sums; this is for a daemon that has just become one.
 */
const TIMES_FOR_EVERYONE = 9;

/** A relay's memory of what it has told. */
export class DigestSchedule {
  #told: TableDigest | undefined;
  #toldAtMs = Number.NEGATIVE_INFINITY;
  #times = 0;

  /** Who is to be told now; it counts as told from here on. */
  next(digest: TableDigest, nowMs: number): DigestAudience {
    if (!this.#isNews(digest) && nowMs - this.#toldAtMs < GAP_MS) return 'nobody';
    this.#told = digest;
    this.#toldAtMs = nowMs;
    this.#times += 1;
    return this.#times % TIMES_FOR_EVERYONE === 1 ? 'everyone' : 'zone';
  }

  #isNews(digest: TableDigest): boolean {
    const told = this.#told;
    if (told === undefined) return true;
    if (digest.configurationVersion > told.configurationVersion) return true;
    return (
      isAhead(digest.configurations, told.configurations) || isAhead(digest.servers, told.servers)
    );
  }
}

function isAhead(digest: TableProgress, told: TableProgress): boolean {
  if (digest.era !== told.era) return digest.era > told.era;
  return digest.changed > told.changed || digest.reread > told.reread;
}
