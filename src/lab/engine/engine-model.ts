/**
 * An emulated model engine in virtual time. It has no clock: each call passes the current time,
 * which must not decrease, and `advance` returns the outputs that became due. The HTTP server drives
 * it by the machine's clock, the simulation by a virtual clock.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { AttemptId, BootId, OrderId } from '../../core/common/identifiers.js';
import type { Order, OrderAnswer } from '../../core/orders/types.js';
import type { EngineOrderState, EngineReport } from '../../core/registry/backend.js';
import type { Sequence } from './batch.js';
import { BatchExecutor } from './batch-executor.js';
import type { CacheEventPage } from './cache-event-log.js';
import { Inventory, type ResolvedModel } from './inventory.js';
import type { HeldKv } from './kv-handles.js';
import { LoadHistory } from './load-history.js';
import { type EngineModelOptions, type EngineSettings, resolveSettings } from './options.js';
import { OrderBook } from './order-book.js';
import type { EngineAcceptance, EngineOutput, EngineRefusal, EngineRequest } from './outputs.js';
import { refusal, refuseFull } from './refusals.js';
import type { PromptDescription } from './tokens.js';

/** An order under way; the engine takes no requests until it ends. */
export interface RunningOrder {
  readonly order: Order;
  readonly endsAt: number;
}

/** One boot of an engine. */
export class EngineModel {
  readonly #settings: EngineSettings;
  readonly #inventory: Inventory;
  readonly #orders: OrderBook;
  readonly #executor: BatchExecutor;
  readonly #history: LoadHistory;
  #outputs: EngineOutput[] = [];
  #order: RunningOrder | null = null;
  #arrivals = 0;
  #leaving = false;
  #nextOrderFails = false;

  constructor(options: EngineModelOptions, startedAt: number) {
    const settings = resolveSettings(options);
    const random = xoroshiro128plus(settings.seed);
    this.#settings = settings;
    this.#inventory = new Inventory(settings.role, settings.models);
    this.#orders = new OrderBook(settings.boot);
    this.#executor = new BatchExecutor(settings, () => uniformFloat64(random), {
      onOutput: (output) => this.#outputs.push(output),
      onLoadChange: (at) => this.#history.record(at, this.#executor.sample()),
    });
    this.#history = new LoadHistory(settings.reportLagMs, startedAt, this.#executor.sample());
    this.#adoptRole();
  }

  get boot(): BootId {
    return this.#settings.boot;
  }

  /** Requests accepted and not ended. */
  get activeRequests(): number {
    return this.#executor.active;
  }

  /** The order under way with its end time, or null. */
  get runningOrder(): RunningOrder | null {
    return this.#order;
  }

  /** The time of the next step end or order end; null if nothing runs. */
  nextDueAt(): number | null {
    return this.#executor.stepEndsAt ?? this.#order?.endsAt ?? null;
  }

  /** Whether `advance` would return outputs at the current time. */
  get hasOutputs(): boolean {
    return this.#outputs.length > 0;
  }

  /** Advances the time and returns the outputs since the last call, in order. */
  advance(now: number): EngineOutput[] {
    this.#settle(now);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  /** Accepts or refuses a request. All outputs, also an immediate `finished`, come from `advance`. */
  submit(now: number, request: EngineRequest): EngineAcceptance | EngineRefusal {
    this.#settle(now);
    if (this.#order !== null) return refusal('engine-busy', 'an order is under way; try another');
    if (this.#executor.has(request.attempt)) {
      return refusal('invalid-request', 'this attempt is active already; use a new attempt id');
    }
    const resolved = this.#inventory.resolve(request.name, request.version);
    if (resolved === null) {
      return refusal('model-not-loaded', 'not in memory in that version; try another engine');
    }
    const refused = this.#refuseByRole(request);
    if (refused !== null) return refused;
    return this.#accept(now, request, resolved);
  }

  /** Cancels a request; returns false if it is not active. */
  cancel(now: number, attempt: AttemptId): boolean {
    this.#settle(now);
    return this.#executor.cancel(now, attempt);
  }

  /** Pauses or resumes a request, for back-pressure from a slow reader. */
  setPaused(now: number, attempt: AttemptId, paused: boolean): void {
    this.#settle(now);
    this.#executor.setPaused(now, attempt, paused);
  }

  /** Handles an order. Requests still active when it starts are cut. */
  order(now: number, order: Order): OrderAnswer {
    this.#settle(now);
    if (order.engine !== this.#settings.name) return this.#orders.invalid();
    const decision = this.#orders.receive(order, this.#executor.active);
    if (decision.kind === 'answered') return decision.answer;
    if (!this.#inventory.canRun(order.action)) return this.#orders.invalid();
    return this.#run(now, order);
  }

  /** The state of an order. */
  orderState(now: number, id: OrderId): EngineOrderState | 'unknown' {
    this.#settle(now);
    return this.#orders.stateOf(id);
  }

  /** Makes the next order that takes time fail without effect. */
  failNextOrder(): void {
    this.#nextOrderFails = true;
  }

  /** Sets the `leaving` label of reports; the engine still accepts requests. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
  }

  /** The engine's report of its state and load. */
  report(now: number): EngineReport {
    this.#settle(now);
    return {
      engine: this.#settings.name,
      boot: this.#settings.boot,
      role: this.#inventory.role,
      intake: this.#orders.intake,
      busy: this.#order !== null,
      leaving: this.#leaving,
      models: this.#inventory.models,
      fence: this.#orders.fence,
      lastOrder: this.#orders.lastOrder,
      maxBatch: this.#settings.maxBatch,
      activeRequests: this.#executor.active,
      load: this.#history.read(now),
    };
  }

  /** Published cache events after number `after`. */
  cacheEvents(now: number, after: number): CacheEventPage {
    this.#settle(now);
    return this.#executor.cacheEvents(now, after);
  }

  /** The KV cache under a handle, for another engine to import; null if there is none. */
  exportKv(now: number, handle: string): HeldKv | null {
    return this.#executor.readHandle(now, handle);
  }

  /** The time to transfer a KV cache to another engine, in milliseconds. */
  kvTransferMs(held: HeldKv): number {
    return this.#executor.kvTransferMs(held);
  }

  /** Stores a KV cache from another engine; null if it does not fit or an order is under way. */
  importKv(now: number, held: HeldKv): string | null {
    this.#settle(now);
    return this.#order === null ? this.#executor.importKv(now, held) : null;
  }

  #settle(now: number): void {
    for (;;) {
      const due = this.nextDueAt();
      if (due === null || due > now) return;
      if (this.#executor.stepEndsAt !== null) this.#executor.endStep();
      else if (this.#order !== null) this.#endOrder(this.#order);
    }
  }

  #refuseByRole(request: EngineRequest): EngineRefusal | null {
    const role = this.#inventory.role;
    const wanted = request.work.kind === 'prefill' ? 'prefill' : 'decode';
    if (role === 'mixed' || role === wanted) return null;
    return refusal('wrong-role', `the engine is in role ${role}; try another engine`);
  }

  #accept(
    now: number,
    request: EngineRequest,
    resolved: ResolvedModel,
  ): EngineAcceptance | EngineRefusal {
    if (!this.#executor.hasQueueCapacity) return refuseFull(this.#executor.retryAfterSeconds);
    const handle = request.work.kind === 'completion' ? request.work.kvHandle : null;
    const held = handle === null ? null : this.#executor.readHandle(now, handle);
    if (handle !== null && !isHandleOf(held, request.name, resolved)) {
      return refusal('kv-gone', 'the handle is not held here; prefill again');
    }
    const prompt = held?.prompt ?? request.describe(resolved);
    const sequence = this.#sequence(request, prompt, resolved, held !== null);
    if (!this.#isPossible(sequence)) {
      return refusal('invalid-request', 'the context does not fit; shorten prompt or answer');
    }
    if (handle !== null) this.#executor.releaseHandle(handle);
    this.#executor.add(now, sequence);
    return { kind: 'accepted', prompt, version: resolved.version };
  }

  #sequence(
    { attempt, priority, name, work }: EngineRequest,
    prompt: PromptDescription,
    { version }: ResolvedModel,
    kvHeld: boolean,
  ): Sequence {
    const completion = work.kind === 'completion';
    const offset = completion ? work.resumeOffset : 0;
    this.#arrivals += 1;
    return {
      attempt,
      priority,
      arrival: this.#arrivals,
      prompt,
      version,
      name,
      mode: work.kind,
      streamed: completion && work.streamed,
      endOffset: completion ? work.maxTokens : 0,
      offset,
      computed: kvHeld ? prompt.tokens : 0,
      target: prompt.tokens + offset,
      paused: false,
      ended: false,
    };
  }

  #isPossible(sequence: Sequence): boolean {
    if (sequence.offset > sequence.endOffset) return false;
    return this.#executor.canEverFit(sequence.prompt.tokens + sequence.endOffset);
  }

  #run(now: number, order: Order): OrderAnswer {
    this.#orders.begin(order);
    if (!this.#inventory.changes(order.action)) {
      this.#orders.end(order, 'done');
      return { kind: 'accepted', state: 'done' };
    }
    this.#executor.cutAll(now);
    const { roleChangeMs, loadMs } = this.#settings;
    const durationMs = order.action.kind === 'set-role' ? roleChangeMs : loadMs;
    this.#order = { order, endsAt: now + durationMs };
    return { kind: 'accepted', state: 'running' };
  }

  #endOrder({ order, endsAt }: RunningOrder): void {
    const state = this.#nextOrderFails ? 'failed' : 'done';
    this.#nextOrderFails = false;
    this.#order = null;
    if (state === 'done') this.#applyOrder(endsAt, order);
    this.#orders.end(order, state);
    this.#outputs.push({ kind: 'order-ended', at: endsAt, order: order.id, state });
  }

  /** All orders except a load restart the engine's workers, which clears the prefix cache. */
  #applyOrder(at: number, { action }: Order): void {
    this.#inventory.apply(action);
    this.#adoptRole();
    const keepsCache = action.kind === 'load-model' || action.kind === 'load-adapter';
    if (!keepsCache) this.#executor.clearCache(at);
  }

  /** A decode engine prefills in small chunks, which bounds the time between tokens. */
  #adoptRole(): void {
    const { prefillChunkTokens, decodeRoleChunkTokens } = this.#settings;
    const decode = this.#inventory.role === 'decode';
    this.#executor.setChunkTokens(decode ? decodeRoleChunkTokens : prefillChunkTokens);
  }
}

function isHandleOf(held: HeldKv | null, name: string, { version }: ResolvedModel): boolean {
  return held !== null && held.name === name && held.version === version;
}
