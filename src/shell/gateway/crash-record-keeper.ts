/**
 * Keeps one daemon's crash records in line with those of the other daemons and of the store: tells the others of changes,
 * applies what they tell, and reads and writes the rows of what is quarantined.
 */
import {
  type Crash,
  type CrashRecord,
  type CrashRecordChange,
  CrashRecords,
  isPartSubject,
  type PeerRoster,
  partIdOf,
  RecentlyBegunParts,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { CrashGossip } from './crash-gossip.js';
import { CrashStoreDuty } from './crash-store-duty.js';
import { CrashStoreRestore } from './crash-store-restore.js';
import { CrashTable, type CrashTableContent } from './crash-table.js';
import { runInBackground, runLoopInBackground } from './internal-faults.js';
import type { PeerExchange } from './peer-exchange.js';
import type { TableService } from './ports.js';
import type { RequestFingerprints } from './request-fingerprint.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService, type WallClock } from './timer-service.js';

const READ_RETRY_MS = 500;

/** Where a change of a record came from. */
type Source =
  /** This daemon saw a server end. */
  | 'own'
  /** Another daemon's record. */
  | 'peer'
  /** The crashes of several daemons, which this one was told of. */
  | 'merged'
  | 'store'
  | 'ran whole'
  /** A server has begun to write on a part. */
  | 'began'
  /** A part of prompts was found to be what ended the servers. */
  | 'explained';

/** Options of a `CrashRecordKeeper`. */
export interface CrashRecordKeeperOptions {
  readonly table: TableService;
  readonly fingerprints: RequestFingerprints;
  readonly roster: Pick<PeerRoster, 'allPeers' | 'positionFor' | 'hasList'>;
  /** Returns undefined where this daemon sends to no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** Differs between daemons, so that not all start with the same peer. */
  readonly initialPeerIndex: number;
  /** Called when a request or a part is quarantined. */
  readonly onQuarantined: () => void;
  readonly contactMs: number;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The crash records of one daemon. */
export class CrashRecordKeeper {
  readonly records = new CrashRecords();
  readonly #options: CrashRecordKeeperOptions;
  readonly #begunParts = new RecentlyBegunParts();
  readonly #table: CrashTable;
  readonly #gossip: CrashGossip;
  readonly #duty: CrashStoreDuty;
  readonly #restore: CrashStoreRestore;
  readonly #stopped = new AbortController();
  readonly #startedMs: number;
  /** Subjects of the records that changed since the last broadcast. */
  readonly #pendingBroadcast = new Set<string>();
  #hasReadTable = false;

  constructor(options: CrashRecordKeeperOptions) {
    this.#options = options;
    const { records } = this;
    this.#table = new CrashTable(options);
    this.#gossip = new CrashGossip({ ...options, records });
    this.#duty = new CrashStoreDuty({
      ...options,
      table: this.#table,
      records,
      readRows: () => this.#readRows(),
      applyRow: (row) => this.#applyRow(row),
    });
    this.#restore = new CrashStoreRestore({
      ...options,
      table: this.#table,
      records,
      ownKey: () => options.fingerprints.key,
      adoptKey: (key) => options.fingerprints.setKey(key),
      syncRow: (subject) => this.#duty.syncRow(subject),
    });
    this.#startedMs = options.timers.nowMs();
  }

  start(): void {
    this.#runInBackground('read crash rows', this.#loadTable());
    runLoopInBackground(this.#options, 'crash rows duty', () => this.#duty.run());
    this.#gossip.start();
  }

  stop(): void {
    this.#stopped.abort();
    this.#duty.stop();
    this.#restore.stop();
    this.#gossip.stop();
  }

  #syncRow(subject: string): void {
    this.#runInBackground('write a crash row', this.#duty.syncRow(subject));
  }

  #syncRowAfterTurn(subject: string): void {
    this.#runInBackground('write a crash row in turn', this.#duty.syncRowAfterTurn(subject));
  }

  #runInBackground(task: string, work: Promise<unknown>): void {
    runInBackground(this.#options.log, task, work);
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
    return this.#hasReadTable || this.#nowMs() - this.#startedMs >= this.#options.contactMs;
  }

  /** Records that a server ended while this daemon had a request there. */
  recordCrash(subject: string, crash: Omit<Crash, 'ageMs'> & Partial<Pick<Crash, 'ageMs'>>): void {
    const nowMs = this.#nowMs();
    if (this.#begunParts.has(subject, nowMs)) return;
    this.#handleChange(subject, this.records.recordCrash(subject, crash, nowMs), 'own');
  }

  /** Records that a server has begun to write on these parts, so none of them is what crashes servers. */
  recordBegun(partSubjects: readonly string[]): void {
    for (const subject of partSubjects) {
      this.#begunParts.add(subject, this.#nowMs());
      if (this.records.isQuarantined(subject)) this.#clear(subject, 'began');
      else this.records.removeSuspicion(subject);
    }
  }

  /** Records that a request ran to its end, so it crashes no servers. */
  recordCompleteRun(fingerprint: string): void {
    this.#clear(fingerprint, 'ran whole');
  }

  /** Applies records that another daemon advertises. */
  applyPeerRecords(records: readonly CrashRecord[]): void {
    for (const record of records) {
      const { subject, isQuarantined } = record;
      if (!isQuarantined && this.#begunParts.has(subject, this.#nowMs())) continue;
      const change = this.records.applyRecord(record, this.#nowMs());
      // Crashes that different daemons saw may quarantine a part where nobody has seen enough of them.
      const isMerged = change === 'quarantined' && !isQuarantined && isPartSubject(subject);
      this.#handleChange(subject, change, isMerged ? 'merged' : 'peer');
    }
  }

  #clear(subject: string, source: Source): void {
    const wasQuarantined = this.records.isQuarantined(subject);
    this.#handleChange(subject, this.records.clear(subject, this.#nowMs()), source);
    if (wasQuarantined) this.#syncRow(subject);
  }

  #handleChange(subject: string, change: CrashRecordChange, source: Source): void {
    if (change === 'none') return;
    this.#logChange(subject, change, source);
    this.#tellOfChange(subject, change, source);
    if (change !== 'quarantined') return;
    if (this.#begunParts.has(subject, this.#nowMs())) this.#clear(subject, 'began');
    else this.#handleQuarantined(subject, source);
  }

  #handleQuarantined(subject: string, source: Source): void {
    // Rows of the store do not tell when each of the servers ended.
    if (isPartSubject(subject) && source !== 'store') this.#clearRequestsExplainedBy(subject);
    this.#options.onQuarantined();
  }

  /** Clears requests that ran beside those with a part; each daemon does so by itself, as it hears of the part. */
  #clearRequestsExplainedBy(partSubject: string): void {
    for (const subject of this.records.requestsExplainedBy(partSubject)) {
      const wasQuarantined = this.records.isQuarantined(subject);
      const change = this.records.clear(subject, this.#nowMs());
      if (!wasQuarantined) continue;
      this.#handleChange(subject, change, 'explained');
      if (this.#options.roster.positionFor(subject) === 0) this.#syncRow(subject);
    }
  }

  #tellOfChange(subject: string, change: CrashRecordChange, source: Source): void {
    switch (source) {
      case 'own':
      case 'ran whole':
      case 'began':
        this.#scheduleBroadcast(subject);
        if (change === 'quarantined') this.#syncRow(subject);
        break;
      case 'merged':
        this.#scheduleBroadcast(subject);
        this.#syncRowAfterTurn(subject);
        break;
      case 'explained':
        break;
      case 'peer':
        if (change === 'quarantined') this.#syncRowAfterTurn(subject);
        break;
      case 'store':
        // All daemons read the rows at their start, but only one reads what an operator lifts later.
        if (change === 'cleared' && this.#hasReadTable) this.#scheduleBroadcast(subject);
        break;
    }
  }

  #logChange(subject: string, change: CrashRecordChange, source: Source): void {
    const { log } = this.#options;
    const crashes = this.records.get(subject, this.#nowMs())?.crashes ?? [];
    const servers = crashes.map(({ serverId }) => serverId).join(' ');
    const requests = crashes.flatMap(({ request }) => request ?? []).join(' ');
    const part = partIdOf(subject);
    switch (change) {
      case 'quarantined':
        if (part === '')
          log.write(GATEWAY_EVENTS.requestQuarantined, { fingerprint: subject, servers, source });
        else log.write(GATEWAY_EVENTS.partQuarantined, { part, servers, requests, source });
        break;
      case 'cleared':
        if (part === '') log.write(GATEWAY_EVENTS.requestCleared, { fingerprint: subject, source });
        else log.write(GATEWAY_EVENTS.partCleared, { part, source });
        break;
      case 'recorded':
      case 'none':
        break;
    }
  }

  /** Requests of a batch that break off together go in one broadcast. */
  #scheduleBroadcast(subject: string): void {
    if (this.#pendingBroadcast.size === 0) queueMicrotask(() => this.#broadcastPending());
    this.#pendingBroadcast.add(subject);
  }

  #broadcastPending(): void {
    const nowMs = this.#nowMs();
    const records = [...this.#pendingBroadcast].flatMap(
      (subject) => this.records.get(subject, nowMs) ?? [],
    );
    this.#pendingBroadcast.clear();
    this.#gossip.broadcast(records);
  }

  /** Reads the fleet's fingerprint key, or creates it, and what is quarantined; retries until the store answers. */
  async #loadTable(): Promise<void> {
    const { timers, log, fingerprints } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const content = await this.#readRows();
      if (content !== undefined) this.#recordTableRead();
      const key = content && (content.key ?? (await this.#table.createKey(content, signal)));
      if (key !== undefined) {
        fingerprints.setKey(key);
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
      quarantined: this.records.quarantined,
      tookMs: this.#sinceStartMs,
    });
  }

  get #sinceStartMs(): number {
    return Math.round(this.#nowMs() - this.#startedMs);
  }

  async #readRows(): Promise<CrashTableContent | undefined> {
    const content = await this.#table.read(this.#stopped.signal);
    for (const record of content?.records ?? []) this.#applyRow(record);
    return content;
  }

  #applyRow(record: CrashRecord): void {
    const change = this.records.applyRecord(record, this.#nowMs());
    this.#handleChange(record.subject, change, 'store');
  }

  #nowMs(): number {
    return this.#options.timers.nowMs();
  }
}
