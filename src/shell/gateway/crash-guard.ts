/**
 * Keeps requests that end servers from ending more of them. Without it a request that crashes the process of whatever
 * runs it went from server to server and from daemon to daemon: 22 to 28 of 13 engines (they start again) ended under
 * one, each with its whole batch, as counted by the servers of a fleet of nine daemons.
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

/** What a refused caller is told. */
const QUARANTINE_REASON =
  'servers ended while this request ran; it is not run again unless an operator lifts that';

/** Where a change of belief came from. */
type Source = 'own' | 'peer' | 'store' | 'ran whole';

/** A run or a reading that broke off. */
interface BrokenRun {
  readonly server: ServerRecord;
  /** Whether the server's end would be a crash: one that is announced is not. */
  readonly wasReady: boolean;
  readonly ranMs: number;
}

/** What a guard is built from. */
export interface CrashGuardOptions {
  readonly table: TableService;
  readonly exitCheck: Pick<ServerExitCheck, 'hasEnded'>;
  /** Whether a life of a server took new work when it was last listed; one that is about to end by plan does not. */
  readonly isReady: (server: ServerRecord) => boolean;
  readonly roster: Pick<PeerRoster, 'allPeers' | 'positionFor' | 'hasList'>;
  /** Absent where this daemon tells no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** A number of this daemon's own, so that not all tell the same one first. */
  readonly initialPeerIndex: number;
  readonly contactMs: number;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The daemon's knowledge of requests that end servers. */
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
  readonly #startedMs: number;
  readonly #openBreaks: UnresolvedBreaks;
  /** Changes since the last telling, by fingerprint. */
  readonly #news = new Set<string>();
  #hasRead = false;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#table = new CrashTable(options);
    this.#openBreaks = new UnresolvedBreaks(options.timers);
    this.#gossip = new CrashGossip({ ...options, records: this.#records });
    this.#duty = new CrashStoreDuty({
      ...options,
      table: this.#table,
      records: this.#records,
      readRows: () => this.#readRows(),
      takeRow: (row) => this.#takeRow(row),
    });
    this.#restore = new CrashStoreRestore({
      ...options,
      table: this.#table,
      records: this.#records,
      ownKey: () => this.#fingerprints.key,
      takeKey: (key) => this.#fingerprints.setKey(key),
      bringUpToDate: (fingerprint) => this.#duty.bringUpToDate(fingerprint),
    });
    this.#startedMs = options.timers.nowMs();
  }

  start(): void {
    void this.#load();
    void this.#duty.run();
    this.#gossip.start();
  }

  stop(): void {
    this.#stopped.abort();
    this.#duty.stop();
    this.#restore.stop();
    this.#gossip.stop();
  }

  /** The store is back from an older copy: what it lacks of the fleet's rows is written again. */
  handleStoreRestored(): void {
    this.#restore.begin();
  }

  /**
   * Whether requests may be sent: a daemon that has not read the table would send what all others refuse. One that
   * the store turns away serves all the same once it could have been told by the others.
   */
  get isReadyToServe(): boolean {
    const { timers, contactMs } = this.#options;
    return this.#hasRead || timers.nowMs() - this.#startedMs >= contactMs;
  }

  /** Requests that are not sent any more. */
  get quarantined(): number {
    return this.#records.quarantined;
  }

  /** Requests under which a server ended. */
  get suspected(): number {
    return this.#records.size;
  }

  /** Known to end servers; nothing is worked out while there is no such request. */
  isQuarantined(exchange: GuardedExchange): boolean {
    if (this.#records.quarantined === 0) return false;
    const fingerprint = this.#fingerprints.of(exchange);
    return fingerprint !== undefined && this.#records.isQuarantined(fingerprint);
  }

  /** Refuses a quarantined request, or fails it where it has run; false where it is none. */
  refuseIfQuarantined(exchange: GuardedExchange): boolean {
    if (!this.isQuarantined(exchange)) return false;
    const fingerprint = this.#fingerprints.of(exchange) ?? '';
    const ageMs = this.#records.get(fingerprint, this.#options.timers.nowMs())?.ageMs ?? 0;
    exchange.refuse(QUARANTINE_REASON, CRASH_RECORD_RETENTION_MS - ageMs, { fingerprint });
    return true;
  }

  /** A run or a reading of a request broke, so long after it was sent to a server. */
  recordBrokenRun(exchange: GuardedExchange, server: ServerRecord, ranMs: number): void {
    const before = this.#checks.get(exchange);
    const wasReady = this.#options.isReady(server);
    const check = this.#check(exchange, { server, wasReady, ranMs });
    this.#checks.set(exchange, Promise.all([before, check]));
  }

  /** A server is listed with a start: runs that broke a moment ago in a life before were ended by that life's end. */
  recordServerStart(server: ServerRecord): void {
    const nowMs = this.#options.timers.nowMs();
    for (const { server: ended, fingerprint, ranMs, atMs } of this.#openBreaks.takeFromEarlierBoots(
      server,
    )) {
      const crash = { serverId: bootIdOf(ended), ranMs, ageMs: nowMs - atMs };
      const change = this.#records.recordCrash(fingerprint, crash, nowMs);
      this.#noteChange(fingerprint, change, 'own');
    }
  }

  /** Resolves once all that broke under a request has been looked into. */
  async whenChecked(exchange: GuardedExchange): Promise<void> {
    await this.#checks.get(exchange);
  }

  /** A request ran whole: it ends no servers. */
  recordCompleteRun(exchange: GuardedExchange): void {
    if (this.#records.isEmpty) return;
    const fingerprint = this.#fingerprints.of(exchange);
    if (fingerprint === undefined) return;
    const wasQuarantined = this.#records.isQuarantined(fingerprint);
    const change = this.#records.clear(fingerprint, this.#options.timers.nowMs());
    this.#noteChange(fingerprint, change, 'ran whole');
    if (wasQuarantined) void this.#duty.bringUpToDate(fingerprint);
  }

  /** What another daemon tells. */
  applyPeerRecords(records: readonly CrashRecord[]): void {
    for (const record of records) {
      const change = this.#records.take(record, this.#options.timers.nowMs());
      this.#noteChange(record.fingerprint, change, 'peer');
    }
  }

  async #check(exchange: GuardedExchange, broken: BrokenRun): Promise<void> {
    const { server, wasReady, ranMs } = broken;
    const { exitCheck, timers, log } = this.#options;
    const startedMs = timers.nowMs();
    const hasEnded = await exitCheck.hasEnded(server);
    const fingerprint = this.#fingerprints.of(exchange) ?? '';
    const isTold = wasReady && fingerprint !== '';
    const isCounted = hasEnded && isTold;
    const nowMs = timers.nowMs();
    const change = isCounted
      ? this.#records.recordCrash(fingerprint, { serverId: bootIdOf(server), ranMs }, nowMs)
      : 'none';
    if (isTold && !hasEnded) {
      this.#openBreaks.add({ server, fingerprint, ranMs, atMs: startedMs });
    }
    log.write(GATEWAY_EVENTS.brokenRunChecked, {
      request: exchange.options.description.attemptId,
      fingerprint,
      server: bootIdOf(server),
      hasEnded,
      isCounted,
      crashes: this.#records.get(fingerprint, nowMs)?.crashes.length ?? 0,
      ranMs: Math.round(ranMs),
      checkMs: Math.round(nowMs - startedMs),
    });
    this.#noteChange(fingerprint, change, 'own');
  }

  #noteChange(fingerprint: string, change: CrashRecordChange, source: Source): void {
    if (change === 'none') return;
    this.#logChange(fingerprint, change, source);
    switch (source) {
      case 'own':
      case 'ran whole':
        this.#tellSoon(fingerprint);
        if (change === 'quarantined') void this.#duty.bringUpToDate(fingerprint);
        break;
      case 'peer':
        if (change === 'quarantined') void this.#duty.standIn(fingerprint);
        break;
      case 'store':
        // All daemons read the rows at their start; what an operator has lifted later only one reads.
        if (change === 'cleared' && this.#hasRead) this.#tellSoon(fingerprint);
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

  /** A batch that breaks off together is told together. */
  #tellSoon(fingerprint: string): void {
    if (this.#news.size === 0) queueMicrotask(() => this.#tell());
    this.#news.add(fingerprint);
  }

  #tell(): void {
    const nowMs = this.#options.timers.nowMs();
    const records = [...this.#news].flatMap((name) => this.#records.get(name, nowMs) ?? []);
    this.#news.clear();
    this.#gossip.broadcast(records);
  }

  /** Reads the secret of the fleet, or makes it, and the quarantined requests, however long the store is away. */
  async #load(): Promise<void> {
    const { timers, log } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const content = await this.#readRows();
      if (content !== undefined) this.#noteRead();
      const key = content && (content.key ?? (await this.#table.createKey(signal)));
      if (key !== undefined) {
        this.#fingerprints.setKey(key);
        log.write(GATEWAY_EVENTS.fingerprintKeyRead, { tookMs: this.#sinceStartMs });
        return;
      }
      await delay(timers, READ_RETRY_MS, signal);
    }
  }

  #noteRead(): void {
    if (this.#hasRead) return;
    this.#hasRead = true;
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
    for (const record of content?.records ?? []) this.#takeRow(record);
    return content;
  }

  #takeRow(record: CrashRecord): void {
    const change = this.#records.take(record, this.#options.timers.nowMs());
    this.#noteChange(record.fingerprint, change, 'store');
  }
}
