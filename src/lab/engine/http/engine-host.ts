/** Drives an engine model by the machine's monotonic clock and passes its outputs to listeners. */
import { randomUUID } from 'node:crypto';
import type { AttemptId } from '../../../core/common/identifiers.js';
import type { Order, OrderAnswer } from '../../../core/orders/types.js';
import { EngineModel } from '../engine-model.js';
import type { EngineModelOptions } from '../options.js';
import type { EngineAcceptance, EngineOutput, EngineRefusal, EngineRequest } from '../outputs.js';
import { ArmedFaults } from './faults.js';
import { Ledger } from './ledger.js';

/** Options of the engine without its boot id, which each start generates. */
export type EngineHostOptions = Omit<EngineModelOptions, 'boot'>;

/** Receives the outputs of one attempt. */
export type OutputListener = (output: EngineOutput) => void;

/** One emulated engine process: a restart replaces the model and keeps ledger and armed faults. */
export class EngineHost {
  readonly ledger = new Ledger();
  readonly faults = new ArmedFaults();
  /** Crashes the process, which restarts after `downMs`. */
  readonly crash: (downMs: number) => void;
  readonly #options: EngineHostOptions;
  readonly #listeners = new Map<AttemptId, OutputListener>();
  #model: EngineModel;
  #timer: NodeJS.Timeout | null = null;
  #crashTimer: NodeJS.Timeout | null = null;
  #stopped = false;
  #deliveringAt: number | null = null;

  constructor(options: EngineHostOptions, crash: (downMs: number) => void) {
    this.#options = options;
    this.crash = crash;
    this.#model = this.#boot();
  }

  /** The model of the current boot. */
  get model(): EngineModel {
    return this.#model;
  }

  /**
   * Delivers due outputs step by step and returns the model's time in milliseconds: the machine's
   * monotonic clock or, during a delivery, the time of the step being delivered. A reader's pause
   * therefore takes effect from the next step on, even if the timer fired late.
   */
  advance(): number {
    if (this.#deliveringAt !== null) return this.#deliveringAt;
    const now = performance.now();
    for (;;) {
      const due = this.#model.nextDueAt();
      if (this.#stopped || due === null || due > now) break;
      this.#deliverUntil(due);
    }
    return now;
  }

  /** Submits a request; the listener receives its outputs until it ends. */
  submit(request: EngineRequest, listener: OutputListener): EngineAcceptance | EngineRefusal {
    const answer = this.#model.submit(this.advance(), request);
    if (answer.kind === 'accepted') {
      this.ledger.recordAccepted(request.attempt, this.#model.boot);
      this.#listeners.set(request.attempt, listener);
    }
    // Schedules delivery instead of delivering here: the caller must see the acceptance first.
    this.#schedule();
    return answer;
  }

  /** Cancels a request; returns false if it is not active. */
  cancel(attempt: AttemptId): boolean {
    if (!this.#listeners.has(attempt)) return false;
    const cancelled = this.#model.cancel(this.advance(), attempt);
    if (cancelled) {
      this.ledger.recordEnded(attempt, 'cancelled');
      this.#listeners.delete(attempt);
    }
    this.#schedule();
    return cancelled;
  }

  /** Cancels a request and closes its connection. */
  cancelAndClose(attempt: AttemptId): boolean {
    const listener = this.#listeners.get(attempt);
    const cancelled = this.cancel(attempt);
    if (cancelled) listener?.({ kind: 'cut', at: this.advance(), attempt });
    return cancelled;
  }

  /** Pauses or resumes a request, for back-pressure from a slow reader. */
  setPaused(attempt: AttemptId, paused: boolean): void {
    this.#model.setPaused(this.advance(), attempt, paused);
    this.#schedule();
  }

  /** Submits an order. */
  order(order: Order): OrderAnswer {
    const before = this.#model.runningOrder;
    const answer = this.#model.order(this.advance(), order);
    const running = this.#model.runningOrder;
    if (running !== null && running !== before) this.#injectFault(running.endsAt);
    this.#deliverUntil(this.advance());
    this.#schedule();
    return answer;
  }

  /** Starts a new boot with the initial role and models. */
  restart(): void {
    this.stop();
    this.#stopped = false;
    this.#model = this.#boot();
  }

  /** Stops the timers and records the active requests as lost. */
  stop(): void {
    this.#stopped = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    if (this.#crashTimer !== null) clearTimeout(this.#crashTimer);
    this.#timer = null;
    this.#crashTimer = null;
    for (const attempt of this.#listeners.keys()) this.ledger.recordEnded(attempt, 'lost');
    this.#listeners.clear();
  }

  /** Injects the next armed order fault: a crash halfway through the order, or a failure at its end. */
  #injectFault(endsAt: number): void {
    const fault = this.faults.takeForOrder();
    if (fault === null) return;
    if (fault.kind === 'fail-order') {
      this.#model.failNextOrder();
      return;
    }
    const halfMs = (endsAt - performance.now()) / 2;
    this.#crashTimer = setTimeout(() => this.crash(fault.downMs), halfMs);
  }

  #boot(): EngineModel {
    return new EngineModel({ ...this.#options, boot: randomUUID() }, performance.now());
  }

  #deliverUntil(at: number): void {
    this.#deliveringAt = at;
    try {
      for (const output of this.#model.advance(at)) this.#deliver(output);
    } finally {
      this.#deliveringAt = null;
    }
  }

  /** Drops outputs of requests that have been cancelled or lost in a crash. */
  #deliver(output: EngineOutput): void {
    if (output.kind === 'order-ended') return;
    const listener = this.#listeners.get(output.attempt);
    if (listener === undefined) return;
    if (output.kind !== 'token') {
      this.#listeners.delete(output.attempt);
      this.ledger.recordEnded(output.attempt, output.kind === 'cut' ? 'cut' : 'finished');
    }
    listener(output);
  }

  #onTimer(): void {
    this.#deliverUntil(this.advance());
    this.#schedule();
  }

  #schedule(): void {
    if (this.#deliveringAt !== null) return;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#stopped) return;
    const due = this.#model.nextDueAt();
    const waitMs = this.#model.hasOutputs ? 0 : due === null ? null : due - performance.now();
    if (waitMs === null) return;
    this.#timer = setTimeout(() => this.#onTimer(), Math.max(0, waitMs));
  }
}
