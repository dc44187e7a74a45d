/**
 * Counts the runs of tenants that this daemon began, answers whoever asks for them, and has this daemon's part
 * in reporting the usage of all daemons (`src/core/tenant-usage/report-duty.ts` decides).
 */
import * as z from 'zod/mini';
import type { PeerRoster } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import {
  type CollectedCounts,
  partsOf,
  type ReportOutcome,
  type UsageAction,
  UsageCollection,
  UsageCounts,
  UsageDuty,
  type UsageRecord,
  windowAt,
} from '../../core/tenant-usage/index.js';
import { DutyRecordRow, type SentOutcome } from './duty-record.js';
import type { PeerExchange, Reply } from './peer-exchange.js';
import type { UsageMessage } from './peer-messages.js';
import type { DutyOutcome, PlatformDuties, TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callWithTimeout, delay, type TimerService, type WallClock } from './timer-service.js';

/** The key of the duty's record. */
const RECORD_KEY = 'usage-duty';
/** Answers of servers that began within a window have come by then: a web request takes about a second at most. */
const SETTLE_MS = 1_200;
/** Others step in when the holder has not reported by then, the first of them first. */
const FIRST_TURN_MS = 3_000;
const TURN_GAP_MS = 600;
/** Later ones all wait equally long. */
const MOST_TURNS = 6;
/** A report that is sent so late may not come in time any more. */
const SEND_MARGIN_MS = 200;
/** How often an open window is looked at. */
const STEP_MS = 250;
/** Daemons that did not answer are asked again, so often: datagrams are lost, and some daemons are gone. */
const ASK_GAP_MS = 250;
const MOST_ASKS = 5;
const CALL_TIMEOUT_MS = 1_500;
const FIRST_BACKOFF_MS = 250;
const LONGEST_BACKOFF_MS = 2_000;

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  fence: z.number(),
  window: z.number(),
  counts: z.record(z.string(), z.number()),
});

/** What a reporter is built from. */
export interface UsageReporterOptions {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
  readonly windowMs: number;
  /** How long after its end a window has to be reported. */
  readonly dueMs: number;
  readonly duties: PlatformDuties;
  readonly table: TableService;
  readonly roster: Pick<PeerRoster, 'allPeers' | 'positionFor'>;
  /** Absent where this daemon tells no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  readonly wallClock: WallClock;
  readonly timers: TimerService;
  /** Whose clock counts the time of a suspended machine. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The daemon's part in counting and reporting usage. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #counts: UsageCounts;
  readonly #duty: UsageDuty;
  readonly #record: DutyRecordRow<UsageRecord>;
  readonly #stopped = new AbortController();
  #collection: UsageCollection | undefined;
  #collected: CollectedCounts | undefined;
  #reportedByOther = Number.NEGATIVE_INFINITY;
  #failuresInARow = 0;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#counts = new UsageCounts(options.windowMs, options.dueMs);
    this.#duty = new UsageDuty(options);
    this.#record = new DutyRecordRow({ ...options, key: RECORD_KEY, schema: recordSchema });
  }

  /** A tenant's request began to run, so long ago. */
  recordRunStart(tenant: string, agoMs: number): void {
    this.#counts.note(tenant, this.#options.wallClock() - agoMs);
  }

  /** What another daemon tells, or asks. */
  handleMessage(message: UsageMessage, reply: Reply): void {
    switch (message.kind) {
      case 'usage-asked':
        for (const part of this.#ownParts(message.window)) reply({ kind: 'usage-counted', part });
        // Whoever asks may lack the record of it, as the store came back from an older copy.
        if (this.#knownReported() >= message.window) {
          reply({ kind: 'usage-reported', window: this.#knownReported() });
        }
        return;
      case 'usage-counted':
        this.#collection?.take(message.part);
        return;
      case 'usage-reported':
        this.#reportedByOther = Math.max(this.#reportedByOther, message.window);
        return;
    }
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { timers } = this.#options;
    while (!this.#stopped.signal.aborted) {
      await delay(timers, this.#nextLookMs(), this.#stopped.signal);
      if (!this.#stopped.signal.aborted) await this.#step();
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** An open window is looked at often; else this daemon sleeps until the next may be its to report. */
  #nextLookMs(): number {
    const { windowMs, wallClock } = this.#options;
    const sinceEndMs = wallClock() % windowMs;
    const waitMs = this.#duty.isHolder ? SETTLE_MS : this.#turnMs();
    const window = windowAt(wallClock() - waitMs, windowMs) - 1;
    if (window > this.#knownReported()) return STEP_MS;
    const untilMs = (waitMs % windowMs) - sinceEndMs;
    return untilMs > 0 ? untilMs : untilMs + windowMs;
  }

  #knownReported(): number {
    return Math.max(this.#duty.reportedWindow, this.#reportedByOther);
  }

  /** How long after the end of a window this daemon steps in for it. */
  #turnMs(): number {
    const place = this.#options.roster.positionFor(RECORD_KEY);
    return FIRST_TURN_MS + TURN_GAP_MS * Math.min(MOST_TURNS, place);
  }

  async #step(): Promise<void> {
    const { windowMs, dueMs, wallClock, leaseTimers } = this.#options;
    const unixMs = wallClock();
    const waitMs = this.#duty.isHolder ? SETTLE_MS : this.#turnMs();
    const action = this.#duty.next(
      {
        nowMs: leaseTimers.nowMs(),
        dueWindow: windowAt(unixMs - waitMs, windowMs) - 1,
        oldestWindow: windowAt(unixMs - dueMs + SEND_MARGIN_MS, windowMs),
        reportedByOther: this.#reportedByOther,
      },
      this.#collected,
    );
    await this.#perform(action);
  }

  async #perform(action: UsageAction): Promise<void> {
    const { signal } = this.#stopped;
    switch (action.kind) {
      case 'none':
        return;
      case 'collect':
        return this.#collect(action.window);
      case 'read':
        return this.#takeRecord(this.#record.read(signal));
      case 'write':
        return this.#takeRecord(this.#record.write(action.record, action.expectedVersion, signal));
      case 'report':
        return this.#report(action.record);
    }
  }

  #ownParts(window: number) {
    const { daemon, incarnation } = this.#options;
    return partsOf(this.#counts.of(window), { daemon, incarnation, window });
  }

  async #collect(window: number): Promise<void> {
    const { roster, peers, timers, log } = this.#options;
    const collection = new UsageCollection(window);
    this.#collection = collection;
    for (const part of this.#ownParts(window)) collection.take(part);
    for (let asks = 0; asks < MOST_ASKS; asks += 1) {
      const silent = roster.allPeers().filter(({ name }) => !collection.hasAnswered(name));
      if (silent.length === 0) break;
      peers()?.sendMessage(silent, { kind: 'usage-asked', window });
      await delay(timers, ASK_GAP_MS, this.#stopped.signal);
    }
    this.#collection = undefined;
    this.#collected = { window, counts: Object.fromEntries(collection.total()) };
    log.write(GATEWAY_EVENTS.usageCollected, {
      window,
      daemons: roster.allPeers().length + 1,
      answers: collection.answers,
    });
  }

  async #takeRecord(call: Promise<SentOutcome<UsageRecord>>): Promise<void> {
    const { outcome, sentMs } = await call;
    this.#duty.takeRecord(outcome, sentMs, this.#options.leaseTimers.nowMs());
    if (outcome.kind !== 'seen') return this.#backOff();
    this.#failuresInARow = 0;
    if (outcome.isOwnWrite && outcome.record !== undefined) this.#logRecord(outcome.record);
  }

  #logRecord({ window, fence, counts }: UsageRecord): void {
    const runs = Object.values(counts).reduce((sum, each) => sum + each, 0);
    const tenants = Object.keys(counts).length;
    this.#options.log.write(GATEWAY_EVENTS.usageRecorded, { window, fence, tenants, runs });
  }

  async #report(record: UsageRecord): Promise<void> {
    const { daemon, duties, timers, log, roster, peers } = this.#options;
    const { window, counts, fence } = record;
    const authority = { holder: daemon, fence };
    const outcome = await callWithTimeout(timers, CALL_TIMEOUT_MS, this.#stopped.signal, (signal) =>
      duties.reportUsage({ window, counts }, authority, signal),
    );
    this.#duty.takeReport(reportOutcomeOf(outcome), record);
    if (outcome.kind === 'accepted') {
      this.#failuresInARow = 0;
      peers()?.sendMessage(roster.allPeers(), { kind: 'usage-reported', window });
      log.write(GATEWAY_EVENTS.usageReported, { window, fence });
      return;
    }
    log.write(GATEWAY_EVENTS.usageNotReported, {
      window,
      fence,
      outcome: outcome.kind,
      status: outcome.kind === 'refused' ? outcome.status : 0,
      reason: outcome.kind === 'lost' ? outcome.reason : '',
    });
    if (outcome.kind !== 'conflict') await this.#backOff();
  }

  async #backOff(): Promise<void> {
    this.#failuresInARow += 1;
    const waitMs = FIRST_BACKOFF_MS * 2 ** (this.#failuresInARow - 1);
    const { timers } = this.#options;
    await delay(timers, Math.min(LONGEST_BACKOFF_MS, waitMs), this.#stopped.signal);
  }
}

function reportOutcomeOf(outcome: DutyOutcome): ReportOutcome {
  switch (outcome.kind) {
    case 'accepted':
      return 'accepted';
    case 'conflict':
      return 'deposed';
    case 'refused':
    case 'lost':
      return 'unknown';
  }
}
