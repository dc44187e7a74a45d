/**
 * Keeps requests that crash servers from crashing more of them. Without it, a request that crashes the process of every
 * server that runs it went from server to server and from daemon to daemon: in a fleet of nine daemons and 13 engines,
 * which restart after a crash, the servers counted 22 to 28 crashes under one request, each with its whole batch. So did
 * one part of prompts whose requests had nothing else in common: 46 to 60 crashes.
 */
import {
  bootIdOf,
  CRASH_RECORD_RETENTION_MS,
  type CrashRecord,
  partIdOf,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { CrashRecordKeeper, type CrashRecordKeeperOptions } from './crash-record-keeper.js';
import type { Refusal } from './exchange.js';
import { sharedPartSubjects } from './prompt-part-subjects.js';
import { type GuardedExchange, RequestFingerprints } from './request-fingerprint.js';
import type { ServerExitCheck } from './server-exit-check.js';
import { type UnresolvedBreak, UnresolvedBreaks } from './unresolved-breaks.js';

/** Bound a log line: a request's header may hold hundreds of parts. */
const MAX_PARTS_LOGGED = 16;
const LOGGED_PART_ID_CHARACTERS = 32;
/** Parts of one broken run that are recorded, those that are suspected already first. */
const MAX_SUSPECTS_PER_RUN = 32;
/** Tells requests apart that crashed servers under one part. */
const REQUEST_DIGITS = 8;

/** The refusal reason that callers receive. */
const QUARANTINE_REASON =
  'servers ended while this request ran; it is not run again unless an operator lifts that';

/** Numbers of requests and of parts of prompts. */
export interface CrashCounts {
  /** Not sent any more. */
  readonly quarantinedRequests: number;
  /** Requests with them are not sent any more. */
  readonly quarantinedParts: number;
  /** Ran at a server when it ended, or did so until they were cleared. */
  readonly requests: number;
  /** As `requests`, of parts. */
  readonly parts: number;
}

/** A run or a prefill that broke off. */
interface BrokenRun {
  readonly server: ServerRecord;
  /** Whether the server was listed as ready: only then is its end a crash, and not an announced shutdown. */
  readonly wasReady: boolean;
  readonly ranMs: number;
}

/** Options of a `CrashGuard`. */
export interface CrashGuardOptions
  extends Omit<CrashRecordKeeperOptions, 'fingerprints' | 'onQuarantined'> {
  readonly exitCheck: Pick<ServerExitCheck, 'hasEnded'>;
  /** Whether a boot of a server accepted new work when it was last listed; one with a planned shutdown does not. */
  readonly isReady: (server: ServerRecord) => boolean;
}

/** Detects and refuses the requests that crash servers, for one daemon. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #fingerprints = new RequestFingerprints();
  readonly #keeper: CrashRecordKeeper;
  readonly #checks = new WeakMap<GuardedExchange, Promise<unknown>>();
  /** Requests of which a server has sent a complete event. */
  readonly #begun = new WeakSet<GuardedExchange>();
  readonly #inProgress = new Set<GuardedExchange>();
  readonly #unresolvedBreaks: UnresolvedBreaks;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#unresolvedBreaks = new UnresolvedBreaks(options.timers);
    this.#keeper = new CrashRecordKeeper({
      ...options,
      fingerprints: this.#fingerprints,
      onQuarantined: () => this.#withdrawQuarantined(),
    });
  }

  start(): void {
    this.#keeper.start();
  }

  stop(): void {
    this.#keeper.stop();
  }

  /** The store was restored from an older copy: writes the fleet's rows that it lacks again. */
  handleStoreRestored(): void {
    this.#keeper.handleStoreRestored();
  }

  /** Whether requests may be sent; see `CrashRecordKeeper`. */
  get isReadyToServe(): boolean {
    return this.#keeper.isReadyToServe;
  }

  /** The secret of the fleet; undefined until it has been read. */
  get fleetKey(): Buffer | undefined {
    return this.#fingerprints.key;
  }

  /** Numbers of requests and of parts of prompts that are quarantined, and under which a server ended. */
  get counts(): CrashCounts {
    const { quarantinedRequests, quarantinedParts, requests, parts } = this.#keeper.records;
    return { quarantinedRequests, quarantinedParts, requests, parts };
  }

  /** Whether a request is quarantined; no fingerprint is computed while there is no such request. */
  isQuarantined(exchange: GuardedExchange): boolean {
    return this.#quarantinedSubject(exchange) !== undefined;
  }

  /** Refuses a quarantined request, or fails it if it has run already. @returns whether it is quarantined */
  refuseIfQuarantined(exchange: GuardedExchange): boolean {
    const subject = this.#quarantinedSubject(exchange);
    if (subject === undefined) return false;
    const { reason, retryAfterMs, details } = this.#refusalOf(subject);
    exchange.refuse(reason, retryAfterMs, details);
    return true;
  }

  /**
   * Follows a request that is held or sent: it is withdrawn if it comes to be quarantined, as a server would end under it.
   * @returns a function to call when the request has ended
   */
  follow(exchange: GuardedExchange): () => void {
    this.#inProgress.add(exchange);
    return () => this.#inProgress.delete(exchange);
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
    for (const broken of this.#unresolvedBreaks.takeFromEarlierBoots(server)) {
      this.#recordCrash(broken, nowMs - broken.atMs);
    }
  }

  /** Resolves once the servers of all broken runs of a request have been checked. */
  async whenChecked(exchange: GuardedExchange): Promise<void> {
    await this.#checks.get(exchange);
  }

  /** Records that a server has sent the first complete event of its answer to a request. */
  recordFirstEvent(exchange: GuardedExchange): void {
    this.#begun.add(exchange);
    this.#keeper.recordBegun(sharedPartSubjects(exchange.options.description));
  }

  /** Records that a request ran to its end, so it crashes no servers. */
  recordCompleteRun(exchange: GuardedExchange): void {
    if (!this.#begun.has(exchange)) this.recordFirstEvent(exchange);
    if (this.#keeper.records.isEmpty) return;
    const fingerprint = this.#fingerprints.of(exchange);
    if (fingerprint !== undefined) this.#keeper.recordCompleteRun(fingerprint);
  }

  /** Applies records that another daemon advertises. */
  applyPeerRecords(records: readonly CrashRecord[]): void {
    this.#keeper.applyPeerRecords(records);
  }

  /** What of a request is quarantined: itself or a part of its prompt; undefined if nothing is. */
  #quarantinedSubject(exchange: GuardedExchange): string | undefined {
    const { records } = this.#keeper;
    if (records.quarantined === 0) return undefined;
    const fingerprint =
      records.quarantinedRequests > 0 ? this.#fingerprints.of(exchange) : undefined;
    if (fingerprint !== undefined && records.isQuarantined(fingerprint)) return fingerprint;
    if (records.quarantinedParts === 0) return undefined;
    const parts = sharedPartSubjects(exchange.options.description);
    return parts.find((subject) => records.isQuarantined(subject));
  }

  #refusalOf(subject: string): Refusal {
    const { records } = this.#keeper;
    const ageMs = records.get(subject, this.#options.timers.nowMs())?.ageMs ?? 0;
    const retryAfterMs = CRASH_RECORD_RETENTION_MS - ageMs;
    const part = partIdOf(subject);
    if (part === '') {
      return { reason: QUARANTINE_REASON, retryAfterMs, details: { fingerprint: subject } };
    }
    const reason = `servers ended while requests with the part ${part} of this prompt ran; a request without that part is served`;
    return { reason, retryAfterMs, details: { part } };
  }

  /** Ends requests that are held, or that a server has not begun to answer, before it ends under them. */
  #withdrawQuarantined(): void {
    for (const exchange of this.#inProgress) {
      const subject = this.#quarantinedSubject(exchange);
      if (subject !== undefined) exchange.withdraw(this.#refusalOf(subject));
    }
  }

  async #check(exchange: GuardedExchange, broken: BrokenRun): Promise<void> {
    const { server, wasReady, ranMs } = broken;
    const { exitCheck, timers, log } = this.#options;
    const startedMs = timers.nowMs();
    const hasEnded = await exitCheck.hasEnded(server);
    const fingerprint = this.#fingerprints.of(exchange) ?? '';
    const hasBegun = this.#begun.has(exchange);
    const partSubjects = hasBegun ? [] : this.#suspectsOf(exchange);
    const isCounted = hasEnded && wasReady;
    const nowMs = timers.nowMs();
    const { attemptId } = exchange.options.description;
    const unresolved = { server, fingerprint, attemptId, partSubjects, ranMs, atMs: startedMs };
    if (isCounted) this.#recordCrash(unresolved, 0);
    else if (wasReady) this.#unresolvedBreaks.add(unresolved);
    log.write(GATEWAY_EVENTS.brokenRunChecked, {
      request: attemptId,
      fingerprint,
      server: bootIdOf(server),
      hasEnded,
      isCounted,
      crashes: this.#keeper.records.get(fingerprint, nowMs)?.crashes.length ?? 0,
      hasBegun,
      parts: partsField(exchange),
      ranMs: Math.round(ranMs),
      checkMs: Math.round(nowMs - startedMs),
    });
  }

  #recordCrash(broken: UnresolvedBreak, ageMs: number): void {
    const { server, fingerprint, attemptId, partSubjects, ranMs } = broken;
    const crash = { serverId: bootIdOf(server), ranMs, ageMs };
    if (fingerprint !== '') this.#keeper.recordCrash(fingerprint, crash);
    const request = (fingerprint || attemptId).slice(0, REQUEST_DIGITS);
    for (const subject of partSubjects) this.#keeper.recordCrash(subject, { ...crash, request });
  }

  /** The parts of a request's prompt that may have ended its server. */
  #suspectsOf(exchange: GuardedExchange): readonly string[] {
    const subjects = [...new Set(sharedPartSubjects(exchange.options.description))];
    if (subjects.length <= MAX_SUSPECTS_PER_RUN) return subjects;
    const { records } = this.#keeper;
    const isKnown = (subject: string) => records.has(subject);
    const known = subjects.filter(isKnown);
    const others = subjects.filter((subject) => !isKnown(subject));
    return [...known, ...others].slice(0, MAX_SUSPECTS_PER_RUN);
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
