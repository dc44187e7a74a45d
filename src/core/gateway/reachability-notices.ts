/**
 * Servers that do not answer a connection, as daemons tell each other. Each attempt to connect to one costs
 * its request the time-out, so what one daemon has found spares the others theirs.
 */

/** What a daemon found out about a server. */
export interface ReachabilityNotice {
  readonly serverId: string;
  /** The daemon that found it out. One alone may have lost a packet, or be cut off itself. */
  readonly by: string;
  /** Whether the server answered again after it had not. */
  readonly isReachable: boolean;
}

/** Notices on a server that are passed on within this time: as many daemons as make one believed. */
const WINDOW_MS = 250;
/** So many daemons have to find a server silent before one that has not tried believes it. */
export const MIN_UNREACHABLE_REPORTS = 2;

interface PassedNotices {
  readonly sinceMs: number;
  readonly by: Set<string>;
}

/** A relay's memory of the notices that it has passed on. */
export class ReachabilityNoticeFilter {
  readonly #passed = new Map<string, PassedNotices>();

  /** The notices that say something new; they count as passed on from here. */
  take(notices: readonly ReachabilityNotice[], nowMs: number): readonly ReachabilityNotice[] {
    if (notices.length === 0) return notices;
    this.#dropOld(nowMs);
    return notices.filter((notice) => this.#isNews(notice, nowMs));
  }

  #isNews({ serverId, isReachable, by }: ReachabilityNotice, nowMs: number): boolean {
    const key = `${isReachable} ${serverId}`;
    const passed = this.#passed.get(key) ?? { sinceMs: nowMs, by: new Set<string>() };
    if (passed.by.size >= MIN_UNREACHABLE_REPORTS || passed.by.has(by)) return false;
    passed.by.add(by);
    this.#passed.set(key, passed);
    return true;
  }

  #dropOld(nowMs: number): void {
    for (const [key, { sinceMs }] of this.#passed) {
      if (nowMs - sinceMs >= WINDOW_MS) this.#passed.delete(key);
    }
  }
}
