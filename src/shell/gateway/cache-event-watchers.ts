/**
 * Follows the cache news of listed engines by held calls, so that each daemon knows which engine
 * keeps which part of a prompt, whoever had it read. An engine takes a bounded number of such calls:
 * where there are more daemons, some ask and pass the news on to the others.
 */

import type { ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { EngineCacheEvents } from './peer-messages.js';
import type { CacheEventBatch, RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { ServerCalls } from './server-calls.js';
import { type CancelTimer, callWithTimeout, delay, type TimerService } from './timer-service.js';

const WAIT_MS = 1_000;
const ANSWER_SLACK_MS = 700;
const CONNECT_TIMEOUT_MS = 500;
/** News that comes closer together is taken in one call, as often as it is passed on. */
const PAUSE_MS = 1_000;
const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 8_000;
/** An engine that takes no more calls is asked again this late; each refusal costs it time. */
const TURNED_AWAY_MS = 8_000;
/** How often a daemon looks which engines it is to ask. */
const LOOK_AGAIN_MS = 1_000;
/** Smaller parts are read sooner than looked for, and never fetched; they are not passed on. */
const LEAST_PASSED_ON_TOKENS = 1_024;
const TURNED_AWAY_STATUS = 429;
const MAX_NEWS_BYTES = 4_194_304;

/** Which engines this daemon asks, and who is told what they say. */
export interface CacheEventDuty {
  isWatcher(engine: ServerRecord): boolean;
  forward(engine: ServerRecord, news: EngineCacheEvents): void;
}

/** What watchers of cache news need. */
export interface CacheEventContext {
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly codec: RequestCodec;
  readonly timers: TimerService;
  readonly duty: CacheEventDuty;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The watches of the engines that this daemon is to ask. */
export class CacheEventWatchers {
  readonly #context: CacheEventContext;
  readonly #engines = new Map<string, ServerRecord>();
  readonly #watches = new Map<string, AbortController>();
  #cancelLook: CancelTimer | undefined;

  constructor(context: CacheEventContext) {
    this.#context = context;
  }

  add(engine: ServerRecord): void {
    if (engine.stage === undefined || this.#engines.has(engine.id)) return;
    this.#engines.set(engine.id, engine);
    this.#follow(engine);
    if (this.#cancelLook === undefined) this.#lookAgain();
  }

  /** An engine has started again: its cache is empty, and its news begin anew. */
  restart(engine: ServerRecord): void {
    this.remove(engine.id);
    if (engine.stage === undefined) return;
    this.#engines.set(engine.id, engine);
    if (this.#context.duty.isWatcher(engine)) this.#begin(engine, true);
    if (this.#cancelLook === undefined) this.#lookAgain();
  }

  remove(engineId: string): void {
    this.#engines.delete(engineId);
    this.#end(engineId);
  }

  stop(): void {
    this.#cancelLook?.();
    for (const id of [...this.#engines.keys()]) this.remove(id);
  }

  /** One look at the duties for all engines: a timer for each would wake the process all the time. */
  #lookAgain(): void {
    this.#cancelLook = this.#context.timers.after(LOOK_AGAIN_MS, () => {
      for (const engine of this.#engines.values()) this.#follow(engine);
      this.#lookAgain();
    });
  }

  /** Begins or ends the watch of an engine, as the duty says. */
  #follow(engine: ServerRecord): void {
    const isWatched = this.#watches.has(engine.id);
    if (this.#context.duty.isWatcher(engine) === isWatched) return;
    if (isWatched) this.#end(engine.id);
    else this.#begin(engine, false);
  }

  #begin(engine: ServerRecord, isNewLife: boolean): void {
    const ended = new AbortController();
    this.#watches.set(engine.id, ended);
    void new CacheNewsWatch(this.#context, engine, isNewLife, ended.signal).run();
  }

  #end(engineId: string): void {
    this.#watches.get(engineId)?.abort();
    this.#watches.delete(engineId);
  }
}

/** Follows one engine; what was missed before comes from the daemon that asked then. */
class CacheNewsWatch {
  readonly #context: CacheEventContext;
  readonly #engine: ServerRecord;
  readonly #stopped: AbortSignal;
  #next = 0;
  #epoch: string | undefined;
  #failuresInARow = 0;
  /** Whether others may still hold news of the life before. */
  #isNewLife: boolean;

  constructor(
    context: CacheEventContext,
    engine: ServerRecord,
    isNewLife: boolean,
    stopped: AbortSignal,
  ) {
    this.#context = context;
    this.#engine = engine;
    this.#isNewLife = isNewLife;
    this.#stopped = stopped;
  }

  async run(): Promise<void> {
    const { timers } = this.#context;
    while (!this.#stopped.aborted) {
      const news = await this.#ask();
      if (this.#stopped.aborted) return;
      switch (news) {
        case 'failed':
          this.#noteFailure('no news');
          await this.#backOff();
          break;
        case 'turned-away':
          this.#noteFailure('the engine takes no more news calls');
          await delay(timers, TURNED_AWAY_MS, this.#stopped);
          break;
        default:
          await this.#take(news);
      }
    }
  }

  #ask(): Promise<CacheEventBatch | 'failed' | 'turned-away'> {
    return callWithTimeout(
      this.#context.timers,
      WAIT_MS + ANSWER_SLACK_MS,
      this.#stopped,
      (signal) => this.#askWithin(signal),
    );
  }

  async #askWithin(signal: AbortSignal): Promise<CacheEventBatch | 'failed' | 'turned-away'> {
    const { calls, codec } = this.#context;
    const result = await calls.call({
      ...codec.cacheEvents(this.#next, WAIT_MS),
      server: this.#engine,
      purpose: 'cache-news',
      request: '',
      mayKeepConnection: true,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal,
    });
    const body =
      result.kind === 'answered' ? await result.answer.collect(MAX_NEWS_BYTES) : undefined;
    if (result.kind !== 'answered') return 'failed';
    if (result.answer.status === TURNED_AWAY_STATUS) return 'turned-away';
    if (result.answer.status !== 200 || body === undefined) return 'failed';
    return codec.readCacheEvents(body) ?? 'failed';
  }

  async #take(news: CacheEventBatch): Promise<void> {
    const { timers, duty } = this.#context;
    const { prefixIndex } = this.#context.fleet;
    this.#noteSuccess();
    const isOtherEpoch = this.#epoch !== undefined && this.#epoch !== news.epoch;
    const isReset = isOtherEpoch || news.hasGap || this.#isNewLife;
    this.#isNewLife = false;
    const engineId = this.#engine.id;
    const events = news.events.filter(
      ({ partId, tokens }) =>
        Math.max(tokens, prefixIndex.tokensOf(engineId, partId)) >= LEAST_PASSED_ON_TOKENS,
    );
    if (isReset) prefixIndex.forget(engineId);
    this.#epoch = news.epoch;
    this.#next = news.nextNumber;
    for (const event of news.events) prefixIndex.confirm(engineId, event.partId, event.tokens);
    if (isReset || events.length > 0) duty.forward(this.#engine, { engineId, isReset, events });
    if (news.events.length > 0) await delay(timers, PAUSE_MS, this.#stopped);
  }

  #noteFailure(reason: string): void {
    this.#failuresInARow += 1;
    if (this.#failuresInARow > 1) return;
    this.#context.log.write(GATEWAY_EVENTS.newsLost, { server: this.#engine.id, reason });
  }

  #noteSuccess(): void {
    if (this.#failuresInARow > 0) {
      const failures = this.#failuresInARow;
      this.#context.log.write(GATEWAY_EVENTS.newsRegained, { server: this.#engine.id, failures });
    }
    this.#failuresInARow = 0;
  }

  async #backOff(): Promise<void> {
    const delayMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.#failuresInARow - 1));
    await delay(this.#context.timers, delayMs, this.#stopped);
  }
}
