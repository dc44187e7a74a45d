/**
 * Daemons find each other by rows in the store: each writes its own once, and all read them, often at
 * first and seldom later.
 */
import * as z from 'zod/mini';
import type { PeerDaemon, PeerRoster } from '../../core/gateway/index.js';
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import { callWithin, delay, type TimerService } from './timer-service.js';

const ROW_PREFIX = 'peer/';
const SCAN_LIMIT = 500;
const TABLE_TIMEOUT_MS = 1_500;
const FIRST_SCAN_GAP_MS = 1_000;
const LONGEST_SCAN_GAP_MS = 20_000;
const SCAN_GAP_GROWTH = 4;

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
  /** Told how many daemons there are, this one counted. */
  readonly noteDaemonCount: (daemons: number) => void;
}

/** Keeps the roster's list as the store has it. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #stopped = new AbortController();
  #isAnnounced = false;

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
  }

  /** Runs until `stop`. */
  async run(port: number): Promise<void> {
    let gapMs = FIRST_SCAN_GAP_MS;
    while (!this.#stopped.signal.aborted) {
      if (!this.#isAnnounced) await this.#announce(port);
      await this.#scan();
      await delay(this.#options.timers, gapMs, this.#stopped.signal);
      gapMs = Math.min(LONGEST_SCAN_GAP_MS, gapMs * SCAN_GAP_GROWTH);
    }
  }

  stop(): void {
    this.#stopped.abort();
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
    const { roster, timers, noteDaemonCount } = this.#options;
    const scan = { kind: 'scan', prefix: ROW_PREFIX, limit: SCAN_LIMIT } as const;
    const result = await this.#callTable(scan);
    if (result.kind !== 'rows') return;
    roster.replace(result.rows.flatMap(readPeer), timers.nowMs());
    noteDaemonCount(roster.daemonCount);
  }

  #callTable(call: TableCall): Promise<TableResult> {
    const { table, timers } = this.#options;
    const { signal: stopped } = this.#stopped;
    return callWithin(timers, TABLE_TIMEOUT_MS, stopped, (signal) => table.call(call, signal));
  }
}

function readPeer(row: TableRow): readonly PeerDaemon[] {
  const parsed = rowSchema.safeParse(row.value);
  if (!parsed.success) return [];
  return [{ name: row.key.slice(ROW_PREFIX.length), ...parsed.data }];
}
