/**
 * Counts the runs that this daemon starts for each tenant, sends the counts to daemons that request them, and reports
 * the usage of all daemons while this daemon holds the duty (`src/core/tenant-usage/report-duty.ts` decides).
 */
import * as z from 'zod/mini';
import type { PeerRoster } from '../../core/gateway/index.js';
import { fenceSchema } from '../../core/lease/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import {
  type CollectedCounts,
  type ReportOutcome,
  splitIntoParts,
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
/**
 * The holder reports a window this long after its end, when the answers to runs that began in it have arrived: a web
 * request takes about a second at most.
 */
const SETTLE_MS = 1_200;
/**
 * If the holder has not reported this long after a window's end, another daemon takes over; each waits one interval
 * longer than the daemon at the position before it.
 */
const FIRST_TAKEOVER_MS = 3_000;
const TAKEOVER_INTERVAL_MS = 600;
/** Daemons at this position or a later one all wait equally long. */
const MAX_TAKEOVER_STEPS = 6;
/** A report that is sent less than this before it is due may arrive too late. */
const SEND_MARGIN_MS = 200;
/** Interval of the steps while a window is still to be reported. */
const POLL_INTERVAL_MS = 250;
/** Counts are requested again from daemons that have not answered: datagrams get lost, and some daemons are down. */
const COLLECT_ROUND_MS = 250;
const MAX_COLLECT_ROUNDS = 5;
const CALL_TIMEOUT_MS = 1_500;
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  fence: fenceSchema,
  window: z.number(),
  counts: z.record(z.string(), z.number()),
});

/** Dependencies and settings of a usage reporter. */
export interface UsageReporterOptions {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
  readonly windowMs: number;
  /** A window has to be reported within this time after its end. */
  readonly dueMs: number;
  readonly duties: PlatformDuties;
  readonly table: TableService;
  readonly roster: Pick<PeerRoster, 'allPeers' | 'positionFor'>;
  /** Returns undefined where this daemon does not exchange messages with others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  readonly wallClock: WallClock;
  readonly timers: TimerService;
  /** Timers whose clock includes the time during which the machine was suspended. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Counts this daemon's usage, and reports that of all daemons while this daemon holds the duty. */
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

  /** Records that a tenant's request began to run `agoMs` ago. */
  recordRunStart(tenant: string, agoMs: number): void {
    this.#counts.recordRun(tenant, this.#options.wallClock() - agoMs);
  }

  /** Handles another daemon's message on usage. */
  handleMessage(message: UsageMessage, reply: Reply): void {
    switch (message.kind) {
      case 'usage-asked':
        for (const part of this.#ownParts(message.window)) reply({ kind: 'usage-counted', part });
        // The requester may not know of the report if the store was restored from a copy without its record.
        if (this.#lastReportedWindow() >= message.window) {
          reply({ kind: 'usage-reported', window: this.#lastReportedWindow() });
        }
        return;
      case 'usage-counted':
        this.#collection?.addPart(message.part);
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
      await delay(timers, this.#nextPollMs(), this.#stopped.signal);
      if (!this.#stopped.signal.aborted) await this.#step();
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Short while a window is to be reported; otherwise the time until this daemon may have to report the next one. */
  #nextPollMs(): number {
    const { windowMs, wallClock } = this.#options;
    const sinceEndMs = wallClock() % windowMs;
    const waitMs = this.#duty.isHolder ? SETTLE_MS : this.#takeoverDelayMs();
    const window = windowAt(wallClock() - waitMs, windowMs) - 1;
    if (window > this.#lastReportedWindow()) return POLL_INTERVAL_MS;
    const untilMs = (waitMs % windowMs) - sinceEndMs;
    return untilMs > 0 ? untilMs : untilMs + windowMs;
  }

  #lastReportedWindow(): number {
    return Math.max(this.#duty.reportedWindow, this.#reportedByOther);
  }

  /** Time after the end of a window after which this daemon takes over its report. */
  #takeoverDelayMs(): number {
    const position = this.#options.roster.positionFor(RECORD_KEY);
    return FIRST_TAKEOVER_MS + TAKEOVER_INTERVAL_MS * Math.min(MAX_TAKEOVER_STEPS, position);
  }

  async #step(): Promise<void> {
    const { windowMs, dueMs, wallClock, leaseTimers } = this.#options;
    const unixMs = wallClock();
    const waitMs = this.#duty.isHolder ? SETTLE_MS : this.#takeoverDelayMs();
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
        return this.#applyRecord(this.#record.read(signal));
      case 'write':
        return this.#applyRecord(this.#record.write(action.record, action.expectedVersion, signal));
      case 'report':
        return this.#report(action.record);
    }
  }

  #ownParts(window: number) {
    const { daemon, incarnation } = this.#options;
    return splitIntoParts(this.#counts.of(window), { daemon, incarnation, window });
  }

  async #collect(window: number): Promise<void> {
    const { roster, peers, timers, log } = this.#options;
    const collection = new UsageCollection(window);
    this.#collection = collection;
    for (const part of this.#ownParts(window)) collection.addPart(part);
    for (let round = 0; round < MAX_COLLECT_ROUNDS; round += 1) {
      const unanswered = roster.allPeers().filter(({ name }) => !collection.hasAnswered(name));
      if (unanswered.length === 0) break;
      peers()?.sendMessage(unanswered, { kind: 'usage-asked', window });
      await delay(timers, COLLECT_ROUND_MS, this.#stopped.signal);
    }
    this.#collection = undefined;
    this.#collected = { window, counts: Object.fromEntries(collection.total()) };
    log.write(GATEWAY_EVENTS.usageCollected, {
      window,
      daemons: roster.allPeers().length + 1,
      answers: collection.answers,
    });
  }

  async #applyRecord(call: Promise<SentOutcome<UsageRecord>>): Promise<void> {
    const { outcome, sentMs } = await call;
    this.#duty.applyRecord(outcome, sentMs, this.#options.leaseTimers.nowMs());
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
    this.#duty.recordReportOutcome(reportOutcomeOf(outcome), record);
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
    await delay(timers, Math.min(MAX_BACKOFF_MS, waitMs), this.#stopped.signal);
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
