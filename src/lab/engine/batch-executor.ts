/**
 * Runs the batch of an emulated engine step by step in virtual time, with its KV memory: running
 * requests, the prefix cache and the handles held between prefill and decode.
 */
import type { AttemptId } from '../../core/common/identifiers.js';
import { KV_BYTES_PER_TOKEN, KV_TRANSFER_BYTES_PER_MS } from './accelerators.js';
import { Batch, type Sequence, type StepPlan, type StepWork } from './batch.js';
import { CacheEventLog, type CacheEventPage } from './cache-event-log.js';
import { type HeldKv, KvHandles } from './kv-handles.js';
import type { LoadSample } from './load-history.js';
import type { EngineSettings } from './options.js';
import type { EngineOutput } from './outputs.js';
import { PrefixCache } from './prefix-cache.js';
import { StepClock } from './step-clock.js';

interface RunningStep {
  readonly plan: StepPlan;
  readonly durationMs: number;
  readonly endsAt: number;
}

/** Receives the executor's outputs and load changes. */
export interface ExecutorListener {
  readonly onOutput: (output: EngineOutput) => void;
  /** Called after a change of the load, with the time of the change. */
  readonly onLoadChange: (at: number) => void;
}

/** Executes requests that `EngineModel` has admitted; does no admission checks of its own. */
export class BatchExecutor {
  readonly #settings: EngineSettings;
  readonly #listener: ExecutorListener;
  readonly #kvCapacity: number;
  readonly #batch: Batch;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #handles: KvHandles;
  readonly #steps: StepClock;
  #chunkTokens: number;
  #step: RunningStep | null = null;

  /** @param draw gives numbers in [0, 1) */
  constructor(settings: EngineSettings, draw: () => number, listener: ExecutorListener) {
    this.#settings = settings;
    this.#listener = listener;
    this.#kvCapacity = settings.kvCapacityTokens ?? settings.profile.kvCapacityTokens;
    this.#chunkTokens = settings.prefillChunkTokens;
    this.#handles = new KvHandles(settings.boot, settings.kvHandleTtlMs);
    this.#cache = new PrefixCache(settings.prefixCacheBlocks);
    this.#batch = new Batch(settings.maxBatch, {
      available: () => this.#kvCapacity - this.#handles.tokens,
      reclaim: () => this.#handles.releaseOldest(),
      cachedTokens: (sequence) => this.#cachedTokens(sequence),
    });
    const { cacheEventDelayMs: delayMs, cacheEventLoss: loss } = settings;
    this.#cacheEvents = new CacheEventLog({ delayMs, loss, draw });
    this.#steps = new StepClock(settings, draw);
  }

  /** Requests accepted and not ended. */
  get active(): number {
    return this.#batch.active;
  }

  /** Whether the waiting queue has a free slot. */
  get hasQueueCapacity(): boolean {
    return this.#batch.waiting.length < this.#settings.maxQueue;
  }

  /** When the running step ends, or null. */
  get stepEndsAt(): number | null {
    return this.#step?.endsAt ?? null;
  }

  /** Sets how many tokens one step may process. */
  setChunkTokens(tokens: number): void {
    this.#chunkTokens = tokens;
  }

  /** Whether an attempt is active. */
  has(attempt: AttemptId): boolean {
    return this.#batch.find(attempt) !== undefined;
  }

  /** Whether a context of that many tokens fits into an empty engine. */
  canEverFit(tokens: number): boolean {
    return tokens < this.#kvCapacity;
  }

  /** Estimated time to prefill all queued tokens, for `Retry-After`. */
  get retryAfterSeconds(): number {
    return this.#steps.prefillSeconds(this.#batch.queuedPrefillTokens());
  }

  /** Queues a request. A completion with no output tokens left finishes immediately. */
  add(now: number, sequence: Sequence): void {
    if (sequence.mode === 'completion' && sequence.offset === sequence.endOffset) {
      this.#finish(now, sequence);
      return;
    }
    this.#batch.add(sequence);
    this.#beginStep(now);
    this.#listener.onLoadChange(now);
  }

  /** Removes a request; returns false if it is not active. */
  cancel(now: number, attempt: AttemptId): boolean {
    const sequence = this.#batch.find(attempt);
    if (sequence === undefined) return false;
    this.#batch.remove(sequence);
    this.#listener.onLoadChange(now);
    return true;
  }

  /** Excludes a request from steps, or includes it again. */
  setPaused(now: number, attempt: AttemptId, paused: boolean): void {
    const sequence = this.#batch.find(attempt);
    if (sequence === undefined) return;
    sequence.paused = paused;
    this.#beginStep(now);
  }

  /** Cuts all active requests and frees their KV memory and all KV handles. */
  cutAll(now: number): void {
    for (const { attempt } of this.#batch.clear()) {
      this.#listener.onOutput({ kind: 'cut', at: now, attempt });
    }
    this.#step = null;
    this.#handles.clear();
    this.#listener.onLoadChange(now);
  }

  /** Clears the prefix cache. */
  clearCache(at: number): void {
    this.#cacheEvents.append(at, this.#cache.clear());
  }

  /** Completes the running step at its end time and starts the next step. */
  endStep(): void {
    const step = this.#step;
    if (step === null) return;
    this.#step = null;
    this.#steps.observe(step.plan, step.durationMs);
    for (const work of step.plan.work) this.#endWork(step.endsAt, work);
    this.#beginStep(step.endsAt);
    this.#listener.onLoadChange(step.endsAt);
  }

  /** Published cache events after number `after`. */
  cacheEvents(now: number, after: number): CacheEventPage {
    return this.#cacheEvents.read(now, after);
  }

  /** The KV cache under a handle; null if the handle is unknown, released or expired. */
  readHandle(now: number, handle: string): HeldKv | null {
    return this.#handles.read(now, handle);
  }

  /** Releases a handle after a request has taken over its KV cache. */
  releaseHandle(handle: string): void {
    this.#handles.release(handle);
  }

  /** Stores an imported KV cache under a new handle; null if the free KV memory is too small. */
  importKv(now: number, held: HeldKv): string | null {
    const freeTokens = (): number =>
      this.#kvCapacity - this.#batch.reservedTokens() - this.#handles.tokens;
    while (freeTokens() < held.prompt.tokens && this.#handles.releaseOldest());
    if (freeTokens() < held.prompt.tokens) return null;
    const handle = this.#handles.hold(now, held);
    this.#listener.onLoadChange(now);
    return handle;
  }

  /** The time to transfer a KV cache to another engine, in milliseconds. */
  kvTransferMs(held: HeldKv): number {
    const bytes = held.prompt.tokens * KV_BYTES_PER_TOKEN;
    return bytes / KV_TRANSFER_BYTES_PER_MS / this.#settings.speedFactor;
  }

  /** The current load. */
  sample(): LoadSample {
    const usedTokens = this.#batch.residentTokens() + this.#handles.tokens;
    return {
      running: this.#batch.running.length,
      queued: this.#batch.waiting.length,
      queuedPrefillTokens: this.#batch.queuedPrefillTokens(),
      kvUsed: Math.min(1, usedTokens / this.#kvCapacity),
      prefillTokensPerSecond: this.#steps.prefillTokensPerSecond,
      decodeStepMs: this.#steps.decodeStepMs,
    };
  }

  /** Excludes the last token: at least one must be processed to produce the next output token. */
  #cachedTokens(sequence: Sequence): number {
    const { blockHashes } = sequence.prompt;
    const cached = this.#cache.cachedTokens(cacheNamespaceOf(sequence), blockHashes);
    return Math.min(cached, sequence.target - 1);
  }

  #beginStep(now: number): void {
    if (this.#step !== null) return;
    const plan = this.#batch.plan(this.#chunkTokens);
    if (plan === null) return;
    const durationMs = this.#steps.duration(plan);
    this.#step = { plan, durationMs, endsAt: now + durationMs };
  }

  #endWork(at: number, { sequence, tokens, phase }: StepWork): void {
    if (sequence.ended) return;
    sequence.computed += tokens;
    if (sequence.computed < sequence.target) return;
    if (phase === 'prefill') this.#storePrefix(at, sequence);
    if (sequence.mode === 'prefill') this.#finishPrefill(at, sequence);
    else this.#write(at, sequence);
  }

  #storePrefix(at: number, sequence: Sequence): void {
    const changes = this.#cache.store(cacheNamespaceOf(sequence), sequence.prompt.blockHashes);
    this.#cacheEvents.append(at, changes);
  }

  #write(at: number, sequence: Sequence): void {
    if (sequence.streamed) {
      const { attempt, offset, prompt } = sequence;
      this.#listener.onOutput({ kind: 'token', at, attempt, offset, digest: prompt.digest });
    }
    sequence.offset += 1;
    if (sequence.offset === sequence.endOffset) this.#finish(at, sequence);
  }

  #finish(at: number, sequence: Sequence): void {
    this.#batch.remove(sequence);
    const { attempt, prompt, endOffset: completionTokens } = sequence;
    const promptTokens = prompt.tokens;
    this.#listener.onOutput({ kind: 'finished', at, attempt, promptTokens, completionTokens });
  }

  #finishPrefill(at: number, sequence: Sequence): void {
    this.#batch.remove(sequence);
    const { attempt, prompt, version, name } = sequence;
    const kvHandle = this.#handles.hold(at, { prompt, version, name });
    const kvBytes = prompt.tokens * KV_BYTES_PER_TOKEN;
    const promptTokens = prompt.tokens;
    this.#listener.onOutput({ kind: 'prefilled', at, attempt, kvHandle, promptTokens, kvBytes });
  }
}

function cacheNamespaceOf({ name, version }: Sequence): string {
  return `${name} ${version}`;
}
