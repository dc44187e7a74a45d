/**
 * Daemons find each other by rows in the store: each writes its own, and all read them, often at first and
 * seldom later; in a large fleet only when the zone's relay has another list. A relay takes away the rows
 * of daemons that are gone, and a daemon that finds its own row gone writes it again.
 */
import * as z from 'zod/mini';
import type { PeerDaemon, PeerRoster } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callTable, readAllRows } from './table-call.js';
import { delay, type TimerService } from './timer-service.js';

const ROW_PREFIX = 'peer/';
const FIRST_SCAN_GAP_MS = 1_000;
const LONGEST_SCAN_GAP_MS = 20_000;
const SCAN_GAP_GROWTH = 4;
/** How often a daemon looks whether its relay has another list. */
const LOOK_GAP_MS = 1_000;
/** Rows taken away in one call; a zone that is lost goes in few. */
const MOST_REMOVALS = 50;
/** After the store came back from an older copy the daemons write their rows again within this time, by chance. */
const REWRITE_SPREAD_MS = 2_000;
/** By then all have written, those that look a moment later counted. */
const REWRITTEN_MS = REWRITE_SPREAD_MS + 2 * LOOK_GAP_MS;

const rowSchema = z.object({
  host: z.string(),
  port: z.number(),
  zone: z._default(z.string(), ''),
});

/** What a directory is built from. */
export interface PeerDirectoryOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly listen: { readonly host: string };
  readonly table: TableService;
  readonly roster: PeerRoster;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** From 0 to below 1, to spread what many daemons do. */
  readonly random: () => number;
  /** Told how many daemons a list holds, this one counted, when it was read or is the relay's too. */
  readonly recordDaemonCount: (daemons: number) => void;
  /** The checksum of the zone's relay's list; undefined while its digest is not fresh. */
  readonly relayPeersChecksum: () => number | undefined;
}

/** Keeps the roster's list as the store has it. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #stopped = new AbortController();
  #isAnnounced = false;
  #scanGapMs = FIRST_SCAN_GAP_MS;
  #nextScanMs = 0;
  /** When the own row is to be written again, and the list to be read after that; undefined where neither is lost. */
  #rewriteAtMs: number | undefined;
  #rescanAtMs: number | undefined;

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
  }

  /** Runs until `stop`. */
  async run(port: number): Promise<void> {
    const { timers } = this.#options;
    while (!this.#stopped.signal.aborted) {
      this.#noteRewriteDue();
      if (!this.#isAnnounced) await this.#announce(port);
      if (this.#isScanDue()) await this.#refresh();
      else this.#noteSameList();
      await delay(timers, LOOK_GAP_MS, this.#stopped.signal);
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** The store is back from an older copy, which may lack this daemon's row and those of others. */
  handleStoreRestored(): void {
    const { timers, random, log } = this.#options;
    const inMs = Math.round(REWRITE_SPREAD_MS * random());
    this.#rewriteAtMs = timers.nowMs() + inMs;
    this.#rescanAtMs = timers.nowMs() + REWRITTEN_MS;
    log.write(GATEWAY_EVENTS.peersRestored, { inMs });
  }

  #noteRewriteDue(): void {
    if (this.#rewriteAtMs === undefined || this.#options.timers.nowMs() < this.#rewriteAtMs) return;
    this.#rewriteAtMs = undefined;
    this.#isAnnounced = false;
  }

  /** While the relay's digest is fresh its list decides; otherwise the time since the last scan. */
  #isScanDue(): boolean {
    const { relayPeersChecksum, roster, timers } = this.#options;
    if (this.#rescanAtMs !== undefined) return timers.nowMs() >= this.#rescanAtMs;
    const checksum = relayPeersChecksum();
    if (checksum !== undefined && roster.hasList) return checksum !== roster.checksum;
    return timers.nowMs() >= this.#nextScanMs;
  }

  /** A list that the zone's relay has as well is as good as read again. */
  #noteSameList(): void {
    const { relayPeersChecksum, roster, recordDaemonCount } = this.#options;
    const isSame = roster.hasList && relayPeersChecksum() === roster.checksum;
    if (isSame) recordDaemonCount(roster.daemonCount);
  }

  async #refresh(): Promise<void> {
    const { timers } = this.#options;
    await this.#scan();
    this.#nextScanMs = timers.nowMs() + this.#scanGapMs;
    this.#scanGapMs = Math.min(LONGEST_SCAN_GAP_MS, this.#scanGapMs * SCAN_GAP_GROWTH);
    await this.#removeLost();
  }

  async #announce(port: number): Promise<void> {
    const { daemon, zone, listen } = this.#options;
    const key = `${ROW_PREFIX}${daemon}`;
    const value: z.infer<typeof rowSchema> = { host: listen.host, port, zone };
    const write = { kind: 'transact', checks: [], writes: [{ key, value }] } as const;
    const result = await this.#callTable(write);
    this.#isAnnounced = result.kind === 'committed';
  }

  async #scan(): Promise<void> {
    const { daemon, roster, timers, recordDaemonCount } = this.#options;
    const rows = await readAllRows(ROW_PREFIX, (page) => this.#callTable(page));
    if (rows === undefined) return;
    this.#rescanAtMs = undefined;
    const peers = rows.flatMap((row) => this.#readPeer(row));
    this.#isAnnounced &&= peers.some(({ name }) => name === daemon);
    roster.replace(peers, timers.nowMs());
    recordDaemonCount(roster.daemonCount);
  }

  /** As the relay, takes away the rows of daemons of its zone that are gone. */
  async #removeLost(): Promise<void> {
    const { roster, timers, log } = this.#options;
    const nowMs = timers.nowMs();
    if (!roster.isRelay(nowMs)) return;
    const lost = roster.lostPeers(nowMs).slice(0, MOST_REMOVALS);
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
    if (parsed.success) return [{ name, ...parsed.data }];
    this.#options.log.write(GATEWAY_EVENTS.peerMalformed, { peer: name });
    return [];
  }
}
