/** An emulated engine as a node of the simulation: it may crash, boot again, and leave. */
import type { AttemptId } from '../../core/common/identifiers.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import type { EngineMachine, EngineReport } from '../../core/registry/backend.js';
import {
  type EngineAcceptance,
  EngineModel,
  type EngineModelOptions,
  type EngineOutput,
  type EngineRefusal,
  type EngineRequest,
} from '../engine/index.js';
import type { FleetObserver } from './observer.js';
import type { VirtualClock } from './virtual-clock.js';

/** Receives the events of an attempt on behalf of the daemon that sent it. */
export interface AttemptListener {
  output(output: EngineOutput): void;
  /** The engine crashed: its connections are reset. */
  reset(): void;
}

/** A node that runs an emulated engine, or none while the engine is down. */
export class SimulatedEngine {
  #model: EngineModel | null;
  #boots = 1;
  #scheduledFor: number | null = null;
  readonly #listeners = new Map<AttemptId, AttemptListener>();

  constructor(
    readonly machine: EngineMachine,
    private readonly options: Omit<EngineModelOptions, 'boot'>,
    private readonly clock: VirtualClock,
    private readonly observer: FleetObserver,
  ) {
    this.#model = this.#boot();
  }

  get name(): string {
    return this.machine.name;
  }

  get isUp(): boolean {
    return this.#model !== null;
  }

  /** The engine's report; null while it is down. */
  report(): EngineReport | null {
    const report = this.#model?.report(this.clock.now) ?? null;
    this.#collect();
    return report;
  }

  /** Submits a request; null while the engine is down. */
  submit(
    request: EngineRequest,
    listener: AttemptListener,
  ): EngineAcceptance | EngineRefusal | null {
    const answer = this.#model?.submit(this.clock.now, request) ?? null;
    if (answer?.kind === 'accepted') {
      this.#listeners.set(request.attempt, listener);
      this.observer.attemptAccepted(this.name, request.attempt);
    }
    this.#collect();
    return answer;
  }

  /** Cancels an attempt. */
  cancel(attempt: AttemptId): void {
    this.#model?.cancel(this.clock.now, attempt);
    this.#listeners.delete(attempt);
    this.#collect();
  }

  /** Gives an order to the engine; null while it is down. */
  order(order: Order): OrderAnswer | null {
    const answer = this.#model?.order(this.clock.now, order) ?? null;
    if (answer !== null) {
      this.observer.orderAnswered(order, answer);
    }
    this.#collect();
    return answer;
  }

  /** The state of an order; null while the engine is down. */
  orderState(id: string): ReturnType<EngineModel['orderState']> | null {
    return this.#model?.orderState(this.clock.now, id) ?? null;
  }

  /** Sets whether the engine reports that it is leaving. */
  setLeaving(leaving: boolean): void {
    this.#model?.setLeaving(leaving);
  }

  /** Crashes: all state is lost, connections are reset, and the engine boots again after `downMs`. */
  crash(downMs: number): void {
    if (this.#model === null) {
      return;
    }
    this.#model = null;
    const listeners = [...this.#listeners.values()];
    this.#listeners.clear();
    for (const listener of listeners) {
      listener.reset();
    }
    this.clock.scheduleAt(this.clock.now + downMs, () => {
      this.#boots += 1;
      this.#model = this.#boot();
    });
  }

  #boot(): EngineModel {
    const boot = `${this.machine.name}/${this.#boots}`;
    return new EngineModel({ ...this.options, boot }, this.clock.now);
  }

  #collect(): void {
    const model = this.#model;
    if (model === null) {
      return;
    }
    for (const output of model.advance(this.clock.now)) {
      this.#notify(output);
    }
    const due = model.nextDueAt();
    if (due === null || this.#scheduledFor === due) {
      return;
    }
    this.#scheduledFor = due;
    this.clock.scheduleAt(due, () => {
      if (this.#model === model) {
        this.#scheduledFor = null;
        this.#collect();
      }
    });
  }

  #notify(output: EngineOutput): void {
    if (output.kind === 'order-ended') {
      this.observer.orderEnded(this.name, output.order, output.state);
      return;
    }
    if (output.kind === 'cut') {
      this.observer.attemptCut(this.name, output.attempt);
    }
    const listener = this.#listeners.get(output.attempt);
    listener?.output(output);
    if (output.kind !== 'token') {
      this.#listeners.delete(output.attempt);
    }
  }
}
