/**
 * Keeps requests that crash servers from crashing more of them. Without it, a request that crashes the process of every
 * server that runs it went from server to server and from daemon to daemon: in a fleet of nine daemons and 13 engines,
 * which restart after a crash, the servers counted 22 to 28 crashes under one request, each with its whole batch.
 */
import {
  bootIdOf,
  CRASH_RECORD_RETENTION_MS,
  type CrashRecord,
  type CrashRecordChange,
  CrashRecords,
  type PeerRoster,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { CrashGossip } from './crash-gossip.js';
import { CrashStoreDuty } from './crash-store-duty.js';
import { CrashStoreRestore } from './crash-store-restore.js';
import { CrashTable, type CrashTableContent } from './crash-table.js';
import type { PeerExchange } from './peer-exchange.js';
import type { TableService } from './ports.js';
import { type GuardedExchange, RequestFingerprints } from './request-fingerprint.js';
import type { GatewayLog } from './request-log.js';
import type { ServerExitCheck } from './server-exit-check.js';
import { delay, type TimerService, type WallClock } from './timer-service.js';
import { UnresolvedBreaks } from './unresolved-breaks.js';

const READ_RETRY_MS = 500;
/** Bound a log line: a request's header may hold hundreds of parts. */
const MAX_PARTS_LOGGED = 16;
const LOGGED_PART_ID_CHARACTERS = 32;

/** The refusal reason that callers receive. */
const QUARANTINE_REASON =
  'servers ended while this request ran; it is not run again unless an operator lifts that';

/** Where a change of a record came from. */
type Source = 'own' | 'peer' | 'store' | 'ran whole';

/** A run or a prefill that broke off. */
interface BrokenRun {
  readonly server: ServerRecord;
  /** Whether the server was listed as ready: only then is its end a crash, and not an announced shutdown. */
  readonly wasReady: boolean;
  readonly ranMs: number;
}

/** Options of a `CrashGuard`. */
export interface CrashGuardOptions {
  readonly table: TableService;
  readonly exitCheck: Pick<ServerExitCheck, 'hasEnded'>;
  /** Whether a boot of a server accepted new work when it was last listed; one with a planned shutdown does not. */
  readonly isReady: (server: ServerRecord) => boolean;
  readonly roster: Pick<PeerRoster, 'allPeers' | 'positionFor' | 'hasList'>;
  /** Returns undefined where this daemon sends to no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** Differs between daemons, so that not all start with the same peer. */
  readonly initialPeerIndex: number;
  readonly contactMs: number;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Detects and refuses the requests that crash servers, for one daemon. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #table: CrashTable;
  readonly #records = new CrashRecords();
  readonly #fingerprints = new RequestFingerprints();
  readonly #gossip: CrashGossip;
  readonly #duty: CrashStoreDuty;
  readonly #restore: CrashStoreRestore;
  readonly #stopped = new AbortController();
  readonly #checks = new WeakMap<GuardedExchange, Promise<unknown>>();
  /** Requests of which a server has sent a complete event. */
  readonly #begun = new WeakSet<GuardedExchange>();
  readonly #startedMs: number;
  readonly #unresolvedBreaks: UnresolvedBreaks;
  /** Fingerprints of the records that changed since the last broadcast. */
  readonly #pendingBroadcast = new Set<string>();
  #hasReadTable = false;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#table = new CrashTable(options);
    this.#unresolvedBreaks = new UnresolvedBreaks(options.timers);
    this.#gossip = new CrashGossip({ ...options, records: this.#records });
    this.#duty = new CrashStoreDuty({
      ...options,
      table: this.#table,
      records: this.#records,
      readRows: () => this.#readRows(),
      applyRow: (row) => this.#applyRow(row),
    });
    this.#restore = new CrashStoreRestore({
      ...options,
      table: this.#table,
      records: this.#records,
      ownKey: () => this.#fingerprints.key,
      adoptKey: (key) => this.#fingerprints.setKey(key),
      syncRow: (fingerprint) => this.#duty.syncRow(fingerprint),
    });
    this.#startedMs = options.timers.nowMs();
  }

  start(): void {
    void this.#loadTable();
    void this.#duty.run();
    this.#gossip.start();
  }

  stop(): void {
    this.#stopped.abort();
    this.#duty.stop();
    this.#restore.stop();
    this.#gossip.stop();
  }

  /** The store was restored from an older copy: writes the fleet's rows that it lacks again. */
  handleStoreRestored(): void {
    this.#restore.begin();
  }

  /**
   * Whether requests may be sent: a daemon that has not read the table would send what all others refuse. One that
   * cannot read the store serves once its peers have had the contact time to advertise their records.
   */
  get isReadyToServe(): boolean {
    const { timers, contactMs } = this.#options;
    return this.#hasReadTable || timers.nowMs() - this.#startedMs >= contactMs;
  }

  /** The secret of the fleet; undefined until it has been read. */
  get fleetKey(): Buffer | undefined {
    return this.#fingerprints.key;
  }

  /** Number of requests that are not sent any more. */
  get quarantined(): number {
    return this.#records.quarantined;
  }

  /** Number of requests under which a server ended. */
  get suspected(): number {
    return this.#records.size;
  }

  /** Whether a request is quarantined; no fingerprint is computed while there is no such request. */
  isQuarantined(exchange: GuardedExchange): boolean {
    if (this.#records.quarantined === 0) return false;
    const fingerprint = this.#fingerprints.of(exchange);
    return fingerprint !== undefined && this.#records.isQuarantined(fingerprint);
  }

  /** Refuses a quarantined request, or fails it if it has run already. @returns whether it is quarantined */
  refuseIfQuarantined(exchange: GuardedExchange): boolean {
    if (!this.isQuarantined(exchange)) return false;
    const fingerprint = this.#fingerprints.of(exchange) ?? '';
    const ageMs = this.#records.get(fingerprint, this.#options.timers.nowMs())?.ageMs ?? 0;
    exchange.refuse(QUARANTINE_REASON, CRASH_RECORD_RETENTION_MS - ageMs, { fingerprint });
    return true;
  }

  /** Records that a run or a prefill of a request broke off `ranMs` after it was sent to a server. */
  recordBrokenRun(exchange: GuardedExchange, server: ServerRecord, ranMs: number): void {
    const before = this.#checks.get(exchange);
    const wasReady = this.#options.isReady(server);
    const check = this.#check(exchange, { server, wasReady, ranMs });
    this.#checks.set(exchange, Promise.all([before, check]));
  }

  /** A server is listed with a new boot: runs that broke off recently in an earlier boot ended with that boot. */
  recordServerStart(server: ServerRecord): void {
    const nowMs = this.#options.timers.nowMs();
    for (const {
      server: ended,
      fingerprint,
      ranMs,
      atMs,
    } of this.#unresolvedBreaks.takeFromEarlierBoots(server)) {
      const crash = { serverId: bootIdOf(ended), ranMs, ageMs: nowMs - atMs };
      const change = this.#records.recordCrash(fingerprint, crash, nowMs);
      this.#handleChange(fingerprint, change, 'own');
    }
  }

  /** Resolves once the servers of all broken runs of a request have been checked. */
  async whenChecked(exchange: GuardedExchange): Promise<void> {
    await this.#checks.get(exchange);
  }

  /** Records that a server has sent the first complete event of its answer to a request. */
  recordFirstEvent(exchange: GuardedExchange): void {
    this.#begun.add(exchange);
  }

  /** Records that a request ran to its end, so it crashes no servers. */
  recordCompleteRun(exchange: GuardedExchange): void {
    if (this.#records.isEmpty) return;
    const fingerprint = this.#fingerprints.of(exchange);
    if (fingerprint === undefined) return;
    const wasQuarantined = this.#records.isQuarantined(fingerprint);
    const change = this.#records.clear(fingerprint, this.#options.timers.nowMs());
    this.#handleChange(fingerprint, change, 'ran whole');
    if (wasQuarantined) void this.#duty.syncRow(fingerprint);
  }

  /** Applies records that another daemon advertises. */
  applyPeerRecords(records: readonly CrashRecord[]): void {
    for (const record of records) {
      const change = this.#records.applyRecord(record, this.#options.timers.nowMs());
      this.#handleChange(record.fingerprint, change, 'peer');
    }
  }

  async #check(exchange: GuardedExchange, broken: BrokenRun): Promise<void> {
    const { server, wasReady, ranMs } = broken;
    const { exitCheck, timers, log } = this.#options;
    const startedMs = timers.nowMs();
    const hasEnded = await exitCheck.hasEnded(server);
    const fingerprint = this.#fingerprints.of(exchange) ?? '';
    const mayCount = wasReady && fingerprint !== '';
    const isCounted = hasEnded && mayCount;
    const nowMs = timers.nowMs();
    const change = isCounted
      ? this.#records.recordCrash(fingerprint, { serverId: bootIdOf(server), ranMs }, nowMs)
      : 'none';
    if (mayCount && !hasEnded) {
      this.#unresolvedBreaks.add({ server, fingerprint, ranMs, atMs: startedMs });
    }
    log.write(GATEWAY_EVENTS.brokenRunChecked, {
      request: exchange.options.description.attemptId,
      fingerprint,
      server: bootIdOf(server),
      hasEnded,
      isCounted,
      crashes: this.#records.get(fingerprint, nowMs)?.crashes.length ?? 0,
      hasBegun: this.#begun.has(exchange),
      parts: partsField(exchange),
      ranMs: Math.round(ranMs),
      checkMs: Math.round(nowMs - startedMs),
    });
    this.#handleChange(fingerprint, change, 'own');
  }

  #handleChange(fingerprint: string, change: CrashRecordChange, source: Source): void {
    if (change === 'none') return;
    this.#logChange(fingerprint, change, source);
    switch (source) {
      case 'own':
      case 'ran whole':
        this.#scheduleBroadcast(fingerprint);
        if (change === 'quarantined') void this.#duty.syncRow(fingerprint);
        break;
      case 'peer':
        if (change === 'quarantined') void this.#duty.syncRowAfterTurn(fingerprint);
        break;
      case 'store':
        // All daemons read the rows at their start, but only one reads what an operator lifts later.
        if (change === 'cleared' && this.#hasReadTable) this.#scheduleBroadcast(fingerprint);
        break;
    }
  }

  #logChange(fingerprint: string, change: CrashRecordChange, source: Source): void {
    const { log, timers } = this.#options;
    const crashes = this.#records.get(fingerprint, timers.nowMs())?.crashes ?? [];
    const servers = crashes.map(({ serverId }) => serverId).join(' ');
    switch (change) {
      case 'quarantined':
        log.write(GATEWAY_EVENTS.requestQuarantined, { fingerprint, servers, source });
        break;
      case 'cleared':
        log.write(GATEWAY_EVENTS.requestCleared, { fingerprint, source });
        break;
      case 'recorded':
      case 'none':
        break;
    }
  }

  /** Requests of a batch that break off together go in one broadcast. */
  #scheduleBroadcast(fingerprint: string): void {
    if (this.#pendingBroadcast.size === 0) queueMicrotask(() => this.#broadcastPending());
    this.#pendingBroadcast.add(fingerprint);
  }

  #broadcastPending(): void {
    const nowMs = this.#options.timers.nowMs();
    const records = [...this.#pendingBroadcast].flatMap(
      (name) => this.#records.get(name, nowMs) ?? [],
    );
    this.#pendingBroadcast.clear();
    this.#gossip.broadcast(records);
  }

  /** Reads the fleet's fingerprint key, or creates it, and the quarantined requests; retries until the store answers. */
  async #loadTable(): Promise<void> {
    const { timers, log } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const content = await this.#readRows();
      if (content !== undefined) this.#recordTableRead();
      const key = content && (content.key ?? (await this.#table.createKey(signal)));
      if (key !== undefined) {
        this.#fingerprints.setKey(key);
        log.write(GATEWAY_EVENTS.fingerprintKeyRead, { tookMs: this.#sinceStartMs });
        return;
      }
      await delay(timers, READ_RETRY_MS, signal);
    }
  }

  #recordTableRead(): void {
    if (this.#hasReadTable) return;
    this.#hasReadTable = true;
    this.#options.log.write(GATEWAY_EVENTS.crashTableRead, {
      quarantined: this.#records.quarantined,
      tookMs: this.#sinceStartMs,
    });
  }

  get #sinceStartMs(): number {
    return Math.round(this.#options.timers.nowMs() - this.#startedMs);
  }

  async #readRows(): Promise<CrashTableContent | undefined> {
    const content = await this.#table.read(this.#stopped.signal);
    for (const record of content?.records ?? []) this.#applyRow(record);
    return content;
  }

  #applyRow(record: CrashRecord): void {
    const change = this.#records.applyRecord(record, this.#options.timers.nowMs());
    this.#handleChange(record.fingerprint, change, 'store');
  }
}

/** The ids of the parts that other requests may share. */
function partsField({ options }: GuardedExchange): string {
  const shared = options.description.promptParts.slice(0, -1);
  return shared
    .slice(0, MAX_PARTS_LOGGED)
    .map(({ id }) => id.slice(0, LOGGED_PART_ID_CHARACTERS))
    .join(' ');
}
