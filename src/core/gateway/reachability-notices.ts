/**
 * Notices between daemons about servers that accept no connections. Each attempt to connect to such a server costs a
 * request the connect time-out, so daemons share what they observe.
 */

/** What a daemon observed about a server. */
export interface ReachabilityNotice {
  readonly serverId: string;
  /** The daemon that observed it. A single daemon may have lost a packet, or be cut off itself. */
  readonly by: string;
  /** Whether the server is reachable again after it was not. */
  readonly isReachable: boolean;
}

/** Within this time, notices about a server are forwarded from as many daemons as others need to act on them. */
const FORWARD_WINDOW_MS = 250;
/** Daemons that must have found a server silent before a daemon that has not tried the server avoids it. */
export const MIN_UNREACHABLE_REPORTS = 2;

interface ForwardedNotices {
  readonly sinceMs: number;
  readonly by: Set<string>;
}

/** Remembers the notices that a relay has forwarded, to drop repeats. */
export class ReachabilityNoticeFilter {
  readonly #forwarded = new Map<string, ForwardedNotices>();

  /** The notices that are new; they are recorded as forwarded. */
  filterNew(notices: readonly ReachabilityNotice[], nowMs: number): readonly ReachabilityNotice[] {
    if (notices.length === 0) return notices;
    this.#dropOld(nowMs);
    return notices.filter((notice) => this.#isNew(notice, nowMs));
  }

  #isNew({ serverId, isReachable, by }: ReachabilityNotice, nowMs: number): boolean {
    const key = `${isReachable} ${serverId}`;
    const forwarded = this.#forwarded.get(key) ?? { sinceMs: nowMs, by: new Set<string>() };
    if (forwarded.by.size >= MIN_UNREACHABLE_REPORTS || forwarded.by.has(by)) return false;
    forwarded.by.add(by);
    this.#forwarded.set(key, forwarded);
    return true;
  }

  #dropOld(nowMs: number): void {
    for (const [key, { sinceMs }] of this.#forwarded) {
      if (nowMs - sinceMs >= FORWARD_WINDOW_MS) this.#forwarded.delete(key);
    }
  }
}
