/**
 * Tells other daemons of this one's work at engines, by datagrams: an engine's queue is the sum of
 * what all daemons sent it, and its own reports are late and priced. Datagrams may be lost; nothing
 * but the quality of a choice depends on them.
 *
 * Daemons find each other by rows in the store. The bytes sent are held under a budget, so that the
 * cost does not grow with the number of daemons.
 */
import { createSocket, type Socket } from 'node:dgram';
import { pack, unpack } from 'msgpackr';
import * as z from 'zod/mini';
import type { LoadReport, PeerLoads } from '../../core/gateway/index.js';
import type { TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import { type CancelTimer, delay, type TimerService } from './timer-service.js';

const ROW_PREFIX = 'peer/';
const SCAN_LIMIT = 500;
const TABLE_TIMEOUT_MS = 1_500;
const FIRST_SCAN_GAP_MS = 1_000;
const LONGEST_SCAN_GAP_MS = 20_000;
/** Changes within this time go in one message. */
const COALESCE_MS = 12;
/** Bytes a second to all peers together, as docs/CAPACITY.md plans for. */
const BUDGET_BYTES_PER_SECOND = 4_096;
const BUDGET_BURST_BYTES = 8_192;
const DATAGRAM_OVERHEAD_BYTES = 28;
const MILLISECONDS_PER_SECOND = 1_000;

const reportSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number(), z.number()])),
]);
const rowSchema = z.object({ host: z.string(), port: z.number() });

/** Where a daemon takes messages. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** What an exchange is built from. */
export interface PeerExchangeOptions {
  readonly daemon: string;
  readonly incarnation: number;
  readonly listen: PeerAddress;
  readonly table: TableService;
  readonly loads: Pick<PeerLoads, 'take'>;
  readonly timers: TimerService;
  /** This daemon's work at this moment. */
  readonly ownWork: () => LoadReport['work'];
  /** Told how many daemons there are, this one counted. */
  readonly noteDaemonCount: (daemons: number) => void;
}

/** The daemon's part in telling loads. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #stopped = new AbortController();
  readonly #socket: Socket;
  #peers: readonly PeerAddress[] = [];
  #sequence = 0;
  #isAnnounced = false;
  #cancelFlush: CancelTimer | undefined;
  #budgetBytes = BUDGET_BURST_BYTES;
  #budgetAtMs: number;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#budgetAtMs = options.timers.nowMs();
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message) => this.#receive(message));
    // An address in use, or an unreachable peer, costs nothing but better choices.
    this.#socket.on('error', () => undefined);
  }

  start(): void {
    const { host, port } = this.#options.listen;
    this.#socket.bind({ address: host, port }, () => void this.#followPeers());
  }

  stop(): void {
    if (this.#stopped.signal.aborted) return;
    this.#stopped.abort();
    this.#cancelFlush?.();
    this.#socket.close();
  }

  /** Says soon what has changed. */
  noteChange(): void {
    if (this.#cancelFlush !== undefined || this.#stopped.signal.aborted) return;
    this.#cancelFlush = this.#options.timers.after(COALESCE_MS, () => {
      this.#cancelFlush = undefined;
      this.#flush();
    });
  }

  #flush(): void {
    if (this.#peers.length === 0) return;
    const { daemon, incarnation, ownWork } = this.#options;
    this.#sequence += 1;
    const work = ownWork().map((entry) => [
      entry.engineId,
      Math.round(entry.pendingMs),
      entry.running,
    ]);
    const message = pack([daemon, incarnation, this.#sequence, work]);
    const cost = (message.length + DATAGRAM_OVERHEAD_BYTES) * this.#peers.length;
    if (!this.#takeBudget(cost)) return;
    for (const peer of this.#peers) this.#socket.send(message, peer.port, peer.host);
  }

  #takeBudget(bytes: number): boolean {
    const nowMs = this.#options.timers.nowMs();
    const earned = ((nowMs - this.#budgetAtMs) * BUDGET_BYTES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.#budgetBytes = Math.min(BUDGET_BURST_BYTES, this.#budgetBytes + earned);
    this.#budgetAtMs = nowMs;
    if (bytes > this.#budgetBytes) return false;
    this.#budgetBytes -= bytes;
    return true;
  }

  #receive(message: Buffer): void {
    const report = readReport(message);
    if (report === undefined || report.daemon === this.#options.daemon) return;
    this.#options.loads.take(report, this.#options.timers.nowMs());
  }

  async #followPeers(): Promise<void> {
    let gapMs = FIRST_SCAN_GAP_MS;
    while (!this.#stopped.signal.aborted) {
      if (!this.#isAnnounced) await this.#announce();
      await this.#scan();
      await delay(this.#options.timers, gapMs, this.#stopped.signal);
      gapMs = Math.min(LONGEST_SCAN_GAP_MS, gapMs * 2);
    }
  }

  async #announce(): Promise<void> {
    const { daemon, listen, table } = this.#options;
    const key = `${ROW_PREFIX}${daemon}`;
    const value: PeerAddress = { host: listen.host, port: this.#socket.address().port };
    const signal = AbortSignal.any([this.#stopped.signal, this.#timeout()]);
    const write = { kind: 'transact', checks: [], writes: [{ key, value }] } as const;
    const result = await table.call(write, signal);
    this.#isAnnounced = result.kind === 'committed';
  }

  async #scan(): Promise<void> {
    const { table, daemon } = this.#options;
    const signal = AbortSignal.any([this.#stopped.signal, this.#timeout()]);
    const scan = { kind: 'scan', prefix: ROW_PREFIX, limit: SCAN_LIMIT } as const;
    const result = await table.call(scan, signal);
    if (result.kind !== 'rows') return;
    const own = `${ROW_PREFIX}${daemon}`;
    this.#peers = result.rows.filter((row) => row.key !== own).flatMap(readPeer);
    this.#options.noteDaemonCount(this.#peers.length + 1);
  }

  #timeout(): AbortSignal {
    const ended = new AbortController();
    this.#options.timers.after(TABLE_TIMEOUT_MS, () => ended.abort());
    return ended.signal;
  }
}

function readPeer(row: TableRow): readonly PeerAddress[] {
  const parsed = rowSchema.safeParse(row.value);
  return parsed.success ? [parsed.data] : [];
}

function readReport(message: Buffer): LoadReport | undefined {
  const parsed = reportSchema.safeParse(decode(message));
  if (!parsed.success) return undefined;
  const [daemon, incarnation, sequence, work] = parsed.data;
  return {
    daemon,
    incarnation,
    sequence,
    work: work.map(([engineId, pendingMs, running]) => ({ engineId, pendingMs, running })),
  };
}

function decode(message: Buffer): unknown {
  try {
    return unpack(message);
  } catch {
    return undefined;
  }
}
