/**
 * Daemon discovery through rows in the store: each daemon writes its own row, and all daemons scan the rows, at first
 * every second until they have them, and later every 20 s. While the digest of the zone's relay is fresh, they scan only
 * if the relay has another list. A relay removes the rows of daemons that have left, and a daemon whose row is missing
 * writes it again.
 */
import * as z from 'zod/mini';
import {
  isHost,
  isPort,
  MAX_NAME_LENGTH,
  type PeerDaemon,
  type PeerRoster,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import { problemOf, UnreadableRows } from '../../core/platform/unreadable-rows.js';
import type { TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callTable, readAllRows } from './table-call.js';
import { delay, type TimerService } from './timer-service.js';

const ROW_PREFIX = 'peer/';
const FIRST_SCAN_INTERVAL_MS = 1_000;
const MAX_SCAN_INTERVAL_MS = 20_000;
const SCAN_INTERVAL_GROWTH = 4;
/** The interval at which a daemon checks whether its relay has another list. */
const CHECK_INTERVAL_MS = 1_000;
/** Rows removed in one call; the rows of a lost zone are removed in a few calls. */
const MAX_REMOVALS = 50;
/** After the store was restored from an older copy, each daemon rewrites its row at a random moment of this time. */
const REWRITE_SPREAD_MS = 2_000;
/** By this time after a restore all daemons have written their rows, including those that noticed it a check later. */
const REWRITTEN_MS = REWRITE_SPREAD_MS + 2 * CHECK_INTERVAL_MS;

const rowSchema = z.object({
  host: z.string().check(z.refine(isHost)),
  port: z.number().check(z.refine(isPort)),
  zone: z._default(z.string().check(z.maxLength(MAX_NAME_LENGTH)), ''),
  /** Absent in rows of daemons that take no forwarded requests. */
  forwardPort: z.optional(z.number().check(z.refine(isPort))),
});

/** The ports of a daemon at which others reach it. */
export interface PeerPorts {
  /** For datagrams. */
  readonly port: number;
  /** For requests that other daemons forward. */
  readonly forwardPort?: number | undefined;
}

/** Dependencies and settings of a `PeerDirectory`. */
export interface PeerDirectoryOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly listen: { readonly host: string };
  readonly table: TableService;
  readonly roster: PeerRoster;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** A random number from 0 to below 1, to spread the calls of many daemons. */
  readonly random: () => number;
  /** Called with the length of the list, including this daemon, when it was read or found to match the relay's list. */
  readonly recordDaemonCount: (daemons: number) => void;
  /** The checksum of the list at the zone's relay; undefined while its digest is not fresh. */
  readonly relayPeersChecksum: () => number | undefined;
}

/** Keeps the roster's list in step with the rows in the store. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #stopped = new AbortController();
  readonly #unreadable = new UnreadableRows();
  #isAnnounced = false;
  #forwardPort: number | undefined;
  #scanIntervalMs = FIRST_SCAN_INTERVAL_MS;
  #nextScanMs = 0;
  /** When the own row is to be written again, and when the list is to be read again, after a restore of the store. */
  #rewriteAtMs: number | undefined;
  #rescanAtMs: number | undefined;

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
  }

  /**
   * Runs until `stop`.
   * @param ports the ports of this daemon that its row names
   */
  async run(ports: PeerPorts): Promise<void> {
    const { timers } = this.#options;
    this.#forwardPort ??= ports.forwardPort;
    while (!this.#stopped.signal.aborted) {
      this.#checkRewriteDue();
      if (!this.#isAnnounced) await this.#announce(ports.port);
      if (this.#isScanDue()) await this.#refresh();
      else this.#confirmList();
      await delay(timers, CHECK_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Announces a port for forwarded requests that was opened after the start. */
  setForwardPort(forwardPort: number): void {
    this.#forwardPort = forwardPort;
    this.#isAnnounced = false;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Handles a restore of the store from an older copy, which may lack the rows of this and other daemons. */
  handleStoreRestored(): void {
    const { timers, random, log } = this.#options;
    const inMs = Math.round(REWRITE_SPREAD_MS * random());
    this.#rewriteAtMs = timers.nowMs() + inMs;
    this.#rescanAtMs = timers.nowMs() + REWRITTEN_MS;
    log.write(GATEWAY_EVENTS.peersRestored, { inMs });
  }

  #checkRewriteDue(): void {
    if (this.#rewriteAtMs === undefined || this.#options.timers.nowMs() < this.#rewriteAtMs) return;
    this.#rewriteAtMs = undefined;
    this.#isAnnounced = false;
  }

  /** While the relay's digest is fresh, a scan is due if the lists differ; otherwise, when the interval is over. */
  #isScanDue(): boolean {
    const { relayPeersChecksum, roster, timers } = this.#options;
    if (this.#rescanAtMs !== undefined) return timers.nowMs() >= this.#rescanAtMs;
    const checksum = relayPeersChecksum();
    if (checksum !== undefined && roster.hasList) return checksum !== roster.checksum;
    return timers.nowMs() >= this.#nextScanMs;
  }

  /** A list that matches the relay's list counts as read again. */
  #confirmList(): void {
    const { relayPeersChecksum, roster, recordDaemonCount } = this.#options;
    const isSame = roster.hasList && relayPeersChecksum() === roster.checksum;
    if (isSame) recordDaemonCount(roster.daemonCount);
  }

  async #refresh(): Promise<void> {
    const { timers, roster } = this.#options;
    await this.#scan();
    // Without any list the next check reads it again.
    if (!roster.hasList) return;
    this.#nextScanMs = timers.nowMs() + this.#scanIntervalMs;
    this.#scanIntervalMs = Math.min(
      MAX_SCAN_INTERVAL_MS,
      this.#scanIntervalMs * SCAN_INTERVAL_GROWTH,
    );
    await this.#removeLost();
  }

  async #announce(port: number): Promise<void> {
    const { daemon, zone, listen } = this.#options;
    const key = `${ROW_PREFIX}${daemon}`;
    const forwardPort = this.#forwardPort;
    const value: z.infer<typeof rowSchema> = { host: listen.host, port, zone, forwardPort };
    const write = { kind: 'transact', checks: [], writes: [{ key, value }] } as const;
    const result = await this.#callTable(write);
    // The port may have been opened while the row was written.
    this.#isAnnounced = result.kind === 'committed' && forwardPort === this.#forwardPort;
  }

  async #scan(): Promise<void> {
    const { daemon, roster, timers, recordDaemonCount } = this.#options;
    const keys = new Set<string>();
    const peers = await readAllRows(
      ROW_PREFIX,
      (page) => this.#callTable(page),
      (row) => {
        keys.add(row.key);
        return this.#readPeer(row);
      },
    );
    if (peers === undefined) return;
    this.#rescanAtMs = undefined;
    this.#unreadable.retain(keys);
    this.#isAnnounced &&= peers.some(({ name }) => name === daemon);
    roster.replace(peers, timers.nowMs());
    recordDaemonCount(roster.daemonCount);
  }

  /** As the relay, removes the rows of daemons of its zone that have left. */
  async #removeLost(): Promise<void> {
    const { roster, timers, log } = this.#options;
    const nowMs = timers.nowMs();
    if (!roster.isRelay(nowMs)) return;
    const lost = roster.lostPeers(nowMs).slice(0, MAX_REMOVALS);
    if (lost.length === 0) return;
    const writes = lost.map(({ name }) => ({ key: `${ROW_PREFIX}${name}`, value: null }));
    const result = await this.#callTable({ kind: 'transact', checks: [], writes });
    log.write(GATEWAY_EVENTS.peersRemoved, {
      peers: lost.map(({ name }) => name).join(' '),
      outcome: result.kind,
    });
  }

  #callTable(call: TableCall): Promise<TableResult> {
    return callTable(this.#options, call, this.#stopped.signal);
  }

  #readPeer(row: TableRow): readonly PeerDaemon[] {
    const parsed = rowSchema.safeParse(row.value);
    const name = row.key.slice(ROW_PREFIX.length);
    if (parsed.success) {
      this.#unreadable.remove(row.key);
      return [{ name, ...parsed.data }];
    }
    const problem = problemOf(parsed.error);
    if (this.#unreadable.add(row.key, problem)) {
      const unreadable = this.#unreadable.count;
      this.#options.log.write(GATEWAY_EVENTS.peerMalformed, { peer: name, problem, unreadable });
    }
    return [];
  }
}
