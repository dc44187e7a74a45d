/**
 * Availability as servers report it in their answers: that they are leaving, or that they want no requests from this
 * daemon for a back-off period. Both are facts, not suspicions, so nothing is sent there even if no other server is
 * left. Both hold whatever the platform's list shows meanwhile: a row may be read late, and may lapse and reappear
 * while the store is unreachable. A leave ends with the boot of the server that reported it.
 */
import { isSameBoot, type ServerRecord } from './server-directory.js';

/**
 * A server that requests a longer back-off is tried again after this time, so that one bad answer does not exclude it
 * permanently.
 */
const MAX_BACK_OFF_MS = 60_000;
/**
 * A back-off is lengthened by a random share of up to this, so that daemons that were refused together do not return
 * together. On average this costs a twentieth of the back-off.
 */
const BACK_OFF_JITTER = 0.1;
/**
 * After a back-off one request is sent as a trial, and no other until it is answered or this time is over: servers
 * refuse at once, so a request that has waited this long was accepted.
 */
const TRIAL_MS = 250;
/**
 * A leave that was not reported again for this long is ignored while the server is listed as ready: planned stops end
 * well before, even if the store was unavailable. A false leave costs this daemon the server for this long.
 */
const LEAVING_VALID_MS = 120_000;
/**
 * Clocks of machines differ; a boot that began longer than this before a report is certain to be older than the report.
 */
const CLOCK_MARGIN_MS = 1_000;

/** A server's report in an answer of whether it accepts work. */
export interface ReportedAvailability {
  /** The server accepts no new work from any daemon. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests from this daemon; undefined if it requests no back-off. */
  readonly backOffMs: number | undefined;
}

/** The server is in a back-off period, or one request after the period is still on trial. */
export interface BackingOff {
  readonly kind: 'resting';
  readonly toldAgoMs: number;
  /** The remaining time. */
  readonly forMs: number;
}

/** The server has a limit, and this daemon has no permit to send it a request now. */
export interface AtLimit {
  readonly kind: 'at-limit';
  readonly toldAgoMs: number;
  /** Time until a permit can be expected. */
  readonly forMs: number;
}

/** Why a server must not be sent callers' requests, by its own reports alone. */
export type Unavailable = { readonly kind: 'leaving'; readonly toldAgoMs: number } | BackingOff;

/** Whether a server may be sent callers' requests. */
export type Availability = { readonly kind: 'open' } | Unavailable;

/** When a report arrived, and a random number from 0 to 1 for it. */
export interface ReportContext {
  readonly nowMs: number;
  /** Wall-clock time in Unix milliseconds, to tell which boot of the server sent the report; undefined if not known. */
  readonly unixMs?: number;
  readonly entropy: number;
}

interface BackOff {
  readonly reportedAtMs: number;
  readonly untilMs: number;
  /** When the trial request after it was sent; undefined before that. */
  readonly triedAtMs: number | undefined;
}

interface Leave {
  readonly server: ServerRecord;
  readonly reportedAtMs: number;
  readonly reportedUnixMs: number | undefined;
}

/** Whether a server may be sent a request now, its limit included. */
export type SendAvailability = Availability | AtLimit;

const OPEN: Availability = { kind: 'open' };

/** The availability that servers have reported. */
export class ServerAvailability {
  /** By server id. */
  readonly #leaves = new Map<string, Leave>();
  /**
   * By address: a request to a server that has ended reaches the server that listens there now, and one that has just
   * restarted may report before the list shows the restart.
   */
  readonly #backOffs = new Map<string, BackOff>();

  /**
   * Records an answer's report.
   * @returns what it reports that was not known
   */
  recordReport(
    server: ServerRecord,
    { isLeaving, backOffMs }: ReportedAvailability,
    { nowMs, unixMs, entropy }: ReportContext,
  ): readonly Unavailable[] {
    this.#dropOld(nowMs);
    const added: Unavailable[] = [];
    if (isLeaving) {
      if (this.#leaveOf(server, nowMs) === undefined) added.push({ kind: 'leaving', toldAgoMs: 0 });
      this.#leaves.set(server.id, { server, reportedAtMs: nowMs, reportedUnixMs: unixMs });
    }
    const requestedMs = Math.min(MAX_BACK_OFF_MS, backOffMs ?? 0);
    if (requestedMs > 0) {
      const lengthenedMs = requestedMs * (1 + BACK_OFF_JITTER * entropy);
      // A shorter back-off that is requested meanwhile does not shorten the current one.
      const knownUntilMs = this.#backOffs.get(server.address)?.untilMs ?? 0;
      const untilMs = Math.max(nowMs + lengthenedMs, knownUntilMs);
      const backOff = { reportedAtMs: nowMs, untilMs, triedAtMs: undefined };
      this.#backOffs.set(server.address, backOff);
      added.push({ kind: 'resting', toldAgoMs: 0, forMs: untilMs - nowMs });
    }
    return added;
  }

  /** Records that a caller's request is sent to a server; the first one after a back-off is the trial. */
  recordSent(server: ServerRecord, nowMs: number): void {
    const backOff = this.#backOffs.get(server.address);
    if (backOff === undefined || backOff.triedAtMs !== undefined) return;
    this.#backOffs.set(server.address, { ...backOff, triedAtMs: nowMs });
  }

  /** Records that a caller's request, sent at `sentAtMs`, was answered without a request for back-off. */
  recordAccepted(server: ServerRecord, sentAtMs: number): void {
    const backOff = this.#backOffs.get(server.address);
    if (backOff !== undefined && sentAtMs >= backOff.untilMs) this.#backOffs.delete(server.address);
  }

  /** The current availability of a server. */
  of(server: ServerRecord, nowMs: number): Availability {
    const leave = this.#leaveOf(server, nowMs);
    if (leave !== undefined) return { kind: 'leaving', toldAgoMs: nowMs - leave.reportedAtMs };
    return this.backOffOf(server, nowMs) ?? OPEN;
  }

  /** The current back-off of a server, even if it is leaving; undefined if there is none. */
  backOffOf({ address }: ServerRecord, nowMs: number): BackingOff | undefined {
    const backOff = this.#backOffs.get(address);
    if (backOff === undefined) return undefined;
    const forMs = endOf(backOff) - nowMs;
    return forMs > 0
      ? { kind: 'resting', toldAgoMs: nowMs - backOff.reportedAtMs, forMs }
      : undefined;
  }

  #leaveOf(server: ServerRecord, nowMs: number): Leave | undefined {
    const leave = this.#leaves.get(server.id);
    if (leave === undefined || !wasReportedBy(leave, server)) return undefined;
    return nowMs - leave.reportedAtMs < LEAVING_VALID_MS ? leave : undefined;
  }

  /** Drops entries that no longer hold, so that there are never more than servers that reported recently. */
  #dropOld(nowMs: number): void {
    for (const [id, { reportedAtMs }] of this.#leaves) {
      if (nowMs - reportedAtMs >= LEAVING_VALID_MS) this.#leaves.delete(id);
    }
    for (const [address, backOff] of this.#backOffs) {
      if (nowMs - backOff.untilMs >= MAX_BACK_OFF_MS) this.#backOffs.delete(address);
    }
  }
}

/**
 * Whether this boot of a server reported that it is leaving. A server that has just restarted may report so before the
 * list shows the restart: then the report arrived well after the new boot began, though the list still showed the
 * previous one.
 */
function wasReportedBy({ server, reportedUnixMs }: Leave, boot: ServerRecord): boolean {
  if (isSameBoot(server, boot)) return true;
  const isSameServer = server.address === boot.address && server.service === boot.service;
  if (!isSameServer || boot.bornMs === undefined || reportedUnixMs === undefined) return false;
  return reportedUnixMs - boot.bornMs > CLOCK_MARGIN_MS;
}

/** The end of a back-off, or of the trial after it. */
function endOf({ untilMs, triedAtMs }: BackOff): number {
  return triedAtMs === undefined ? untilMs : triedAtMs + TRIAL_MS;
}
