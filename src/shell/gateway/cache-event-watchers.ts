/**
 * Follows the cache events of listed engines by long polling, so that each daemon knows which engine
 * caches which part of a prompt, whichever daemon had it prefilled. An engine accepts a bounded number
 * of such polls: where there are more daemons, some poll and forward the events to the others.
 */

import type { ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { countJsonValues } from '../bytes/index.js';
import type { FleetView } from './fleet-view.js';
import { runLoopInBackground } from './internal-faults.js';
import type { EngineCacheEvents } from './peer-messages.js';
import type { CacheEventBatch, RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { ServerCalls } from './server-calls.js';
import { type CancelTimer, callWithTimeout, delay, type TimerService } from './timer-service.js';

const LONG_POLL_MS = 1_000;
const ANSWER_SLACK_MS = 700;
const CONNECT_TIMEOUT_MS = 500;
/** Pause after a poll that returned events, so that events within one forwarding interval come in one poll. */
const POLL_PAUSE_MS = 1_000;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 8_000;
/** Delay after an engine refused a poll as it serves the maximum already; each refusal costs it time. */
const REFUSED_RETRY_MS = 8_000;
/** How often a daemon checks which engines it has to poll. */
const DUTY_CHECK_INTERVAL_MS = 1_000;
/** Smaller parts are prefilled sooner than looked up and never fetched, so they are not forwarded. */
const MIN_FORWARDED_TOKENS = 1_024;
const TOO_MANY_REQUESTS_STATUS = 429;
const MAX_RESPONSE_BYTES = 4_194_304;
/** Some times the events of all parts that are indexed of one engine. */
const MAX_RESPONSE_VALUES = 262_144;

/** Decides which engines this daemon polls, and forwards their events to the daemons that do not. */
export interface CacheEventDuty {
  isWatcher(engine: ServerRecord): boolean;
  forward(engine: ServerRecord, update: EngineCacheEvents): void;
}

/** Dependencies of the watchers of cache events. */
export interface CacheEventContext {
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly codec: RequestCodec;
  readonly timers: TimerService;
  readonly duty: CacheEventDuty;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Watches the engines that this daemon has to poll. */
export class CacheEventWatchers {
  readonly #context: CacheEventContext;
  readonly #engines = new Map<string, ServerRecord>();
  readonly #watches = new Map<string, AbortController>();
  #cancelDutyCheck: CancelTimer | undefined;

  constructor(context: CacheEventContext) {
    this.#context = context;
  }

  add(engine: ServerRecord): void {
    if (engine.stage === undefined || this.#engines.has(engine.id)) return;
    this.#engines.set(engine.id, engine);
    this.#syncWatch(engine);
    if (this.#cancelDutyCheck === undefined) this.#scheduleDutyCheck();
  }

  /** An engine has restarted: its cache is empty, and its events are numbered from the start. */
  restart(engine: ServerRecord): void {
    this.remove(engine.id);
    if (engine.stage === undefined) return;
    this.#engines.set(engine.id, engine);
    if (this.#context.duty.isWatcher(engine)) this.#startWatch(engine, true);
    if (this.#cancelDutyCheck === undefined) this.#scheduleDutyCheck();
  }

  remove(engineId: string): void {
    this.#engines.delete(engineId);
    this.#endWatch(engineId);
  }

  stop(): void {
    this.#cancelDutyCheck?.();
    for (const id of [...this.#engines.keys()]) this.remove(id);
  }

  /** One timer for all engines: a timer for each would wake the process constantly. */
  #scheduleDutyCheck(): void {
    this.#cancelDutyCheck = this.#context.timers.after(DUTY_CHECK_INTERVAL_MS, () => {
      for (const engine of this.#engines.values()) this.#syncWatch(engine);
      this.#scheduleDutyCheck();
    });
  }

  /** Starts or ends the watch of an engine, as the duty requires. */
  #syncWatch(engine: ServerRecord): void {
    const isWatched = this.#watches.has(engine.id);
    if (this.#context.duty.isWatcher(engine) === isWatched) return;
    if (isWatched) this.#endWatch(engine.id);
    else this.#startWatch(engine, false);
  }

  #startWatch(engine: ServerRecord, isAfterRestart: boolean): void {
    const ended = new AbortController();
    this.#watches.set(engine.id, ended);
    const watch = new CacheEventWatch(this.#context, engine, isAfterRestart, ended.signal);
    runLoopInBackground(this.#context, 'watch cache events', () => watch.run());
  }

  #endWatch(engineId: string): void {
    this.#watches.get(engineId)?.abort();
    this.#watches.delete(engineId);
  }
}

type PollOutcome = 'applied' | 'nothing-new' | 'failed' | 'turned-away';

/** Polls one engine. Events from before the first poll were forwarded by the daemon that polled it then. */
class CacheEventWatch {
  readonly #context: CacheEventContext;
  readonly #engine: ServerRecord;
  readonly #stopped: AbortSignal;
  #nextNumber = 0;
  #epoch: string | undefined;
  #consecutiveFailures = 0;
  /** Whether peers may still hold events of the engine's previous boot; the next update resets them. */
  #isAfterRestart: boolean;

  constructor(
    context: CacheEventContext,
    engine: ServerRecord,
    isAfterRestart: boolean,
    stopped: AbortSignal,
  ) {
    this.#context = context;
    this.#engine = engine;
    this.#isAfterRestart = isAfterRestart;
    this.#stopped = stopped;
  }

  async run(): Promise<void> {
    const { timers } = this.#context;
    while (!this.#stopped.aborted) {
      const outcome = await this.#poll();
      if (this.#stopped.aborted) return;
      switch (outcome) {
        case 'failed':
          this.#recordFailure('no news');
          await this.#backOff();
          break;
        case 'turned-away':
          this.#recordFailure('the engine takes no more news calls');
          await delay(timers, REFUSED_RETRY_MS, this.#stopped);
          break;
        case 'applied':
          await delay(timers, POLL_PAUSE_MS, this.#stopped);
          break;
        case 'nothing-new':
          break;
      }
    }
  }

  /** Returns no events, so that none are held in memory between two polls. */
  #poll(): Promise<PollOutcome> {
    return callWithTimeout(
      this.#context.timers,
      LONG_POLL_MS + ANSWER_SLACK_MS,
      this.#stopped,
      (signal) => this.#pollWithin(signal),
    );
  }

  async #pollWithin(signal: AbortSignal): Promise<PollOutcome> {
    const { calls, codec } = this.#context;
    const result = await calls.call({
      ...codec.cacheEvents(this.#nextNumber, LONG_POLL_MS),
      server: this.#engine,
      purpose: 'cache-news',
      request: '',
      mayKeepConnection: true,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal,
    });
    const body =
      result.kind === 'answered' ? await result.answer.collect(MAX_RESPONSE_BYTES) : undefined;
    if (result.kind !== 'answered') return 'failed';
    if (result.answer.status === TOO_MANY_REQUESTS_STATUS) return 'turned-away';
    if (result.answer.status !== 200 || body === undefined) return 'failed';
    if (countJsonValues(body) > MAX_RESPONSE_VALUES) return 'failed';
    const news = codec.readCacheEvents(body);
    if (news === undefined) return 'failed';
    if (!this.#stopped.aborted) this.#apply(news);
    return news.events.length > 0 ? 'applied' : 'nothing-new';
  }

  #apply(news: CacheEventBatch): void {
    const { duty } = this.#context;
    const { prefixIndex } = this.#context.fleet;
    this.#recordSuccess();
    const isOtherEpoch = this.#epoch !== undefined && this.#epoch !== news.epoch;
    const isReset = isOtherEpoch || news.hasGap || this.#isAfterRestart;
    this.#isAfterRestart = false;
    const engineId = this.#engine.id;
    const events = news.events.filter(
      ({ partId, tokens }) =>
        Math.max(tokens, prefixIndex.tokensOf(engineId, partId)) >= MIN_FORWARDED_TOKENS,
    );
    if (isReset) prefixIndex.forget(engineId);
    this.#epoch = news.epoch;
    this.#nextNumber = news.nextNumber;
    for (const event of news.events) prefixIndex.confirm(engineId, event.partId, event.tokens);
    if (isReset || events.length > 0) duty.forward(this.#engine, { engineId, isReset, events });
  }

  #recordFailure(reason: string): void {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures > 1) return;
    this.#context.log.write(GATEWAY_EVENTS.newsLost, { server: this.#engine.id, reason });
  }

  #recordSuccess(): void {
    if (this.#consecutiveFailures > 0) {
      const failures = this.#consecutiveFailures;
      this.#context.log.write(GATEWAY_EVENTS.newsRegained, { server: this.#engine.id, failures });
    }
    this.#consecutiveFailures = 0;
  }

  async #backOff(): Promise<void> {
    const delayMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (this.#consecutiveFailures - 1));
    await delay(this.#context.timers, delayMs, this.#stopped);
  }
}
