/**
 * Follows the cache news of every listed engine by held calls, so that each daemon knows which engine
 * keeps which part of a prompt, whoever had it read. An engine takes a bounded number of such calls;
 * a daemon that is turned away waits longer before it asks again.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import type { BackendConnections } from './backend-connections.js';
import type { FleetView } from './fleet-view.js';
import type { CacheNews, RequestCodec } from './ports.js';
import { delay, type TimerService } from './timer-service.js';

const WAIT_MS = 1_000;
const ANSWER_SLACK_MS = 700;
const CONNECT_TIMEOUT_MS = 500;
/** News that comes closer together is taken in one call. */
const PAUSE_MS = 200;
const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 8_000;
/** An engine that takes no more calls is asked again this late; each refusal costs it time. */
const TURNED_AWAY_MS = 30_000;
const TURNED_AWAY_STATUS = 429;
const MAX_NEWS_BYTES = 4_194_304;

/** What watchers of cache news need. */
export interface CacheNewsContext {
  readonly fleet: FleetView;
  readonly connections: BackendConnections;
  readonly codec: RequestCodec;
  readonly timers: TimerService;
}

/** The watches of all listed engines. */
export class CacheNewsWatchers {
  readonly #context: CacheNewsContext;
  readonly #watches = new Map<string, AbortController>();

  constructor(context: CacheNewsContext) {
    this.#context = context;
  }

  add(engine: ServerRecord): void {
    if (engine.stage === undefined || this.#watches.has(engine.id)) return;
    const stopped = new AbortController();
    this.#watches.set(engine.id, stopped);
    void new CacheNewsWatch(this.#context, engine, stopped.signal).run();
  }

  remove(engineId: string): void {
    this.#watches.get(engineId)?.abort();
    this.#watches.delete(engineId);
  }

  stop(): void {
    for (const id of [...this.#watches.keys()]) this.remove(id);
  }
}

class CacheNewsWatch {
  readonly #context: CacheNewsContext;
  readonly #engine: ServerRecord;
  readonly #stopped: AbortSignal;
  #next = 0;
  #epoch: string | undefined;
  #failuresInARow = 0;

  constructor(context: CacheNewsContext, engine: ServerRecord, stopped: AbortSignal) {
    this.#context = context;
    this.#engine = engine;
    this.#stopped = stopped;
  }

  async run(): Promise<void> {
    while (!this.#stopped.aborted) {
      const news = await this.#ask();
      if (this.#stopped.aborted) return;
      switch (news) {
        case 'failed':
          await this.#backOff();
          break;
        case 'turned-away':
          await delay(this.#context.timers, TURNED_AWAY_MS, this.#stopped);
          break;
        default:
          await this.#take(news);
      }
    }
  }

  async #ask(): Promise<CacheNews | 'failed' | 'turned-away'> {
    const { connections, codec, timers } = this.#context;
    const ended = new AbortController();
    const end = () => ended.abort();
    const cancel = timers.after(WAIT_MS + ANSWER_SLACK_MS, end);
    this.#stopped.addEventListener('abort', end, { once: true });
    const result = await connections.call({
      ...codec.cacheNews(this.#next, WAIT_MS),
      address: this.#engine.address,
      mayKeepConnection: true,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: ended.signal,
    });
    const body =
      result.kind === 'answered' ? await result.answer.collect(MAX_NEWS_BYTES) : undefined;
    cancel();
    this.#stopped.removeEventListener('abort', end);
    if (result.kind !== 'answered') return 'failed';
    if (result.answer.status === TURNED_AWAY_STATUS) return 'turned-away';
    if (result.answer.status !== 200 || body === undefined) return 'failed';
    return codec.readCacheNews(body) ?? 'failed';
  }

  async #take(news: CacheNews): Promise<void> {
    const { knowledge } = this.#context.fleet;
    this.#failuresInARow = 0;
    const isOtherEpoch = this.#epoch !== undefined && this.#epoch !== news.epoch;
    if (isOtherEpoch || news.hasGap) knowledge.forget(this.#engine.id);
    this.#epoch = news.epoch;
    this.#next = news.nextNumber;
    for (const event of news.events) {
      knowledge.confirm(this.#engine.id, event.partId, event.tokens);
    }
    if (news.events.length > 0) await delay(this.#context.timers, PAUSE_MS, this.#stopped);
  }

  async #backOff(): Promise<void> {
    const delayMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.#failuresInARow);
    this.#failuresInARow += 1;
    await delay(this.#context.timers, delayMs, this.#stopped);
  }
}
