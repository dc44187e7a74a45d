/**
 * A daemon as a node of the simulation: the production reducer with a drifting local clock and
 * simulated shells. It can be paused, killed and restarted under its name.
 */
import type { DaemonName, ZoneName } from '../../core/common/identifiers.js';
import type { ChangeOutcome, ChangeRequest } from '../../core/configuration/index.js';
import {
  createDaemonState,
  type DaemonEffect,
  type DaemonEvent,
  type DaemonState,
  stepDaemon,
} from '../../core/daemon/index.js';
import { authorityOf, maySendUnder } from '../../core/lease/index.js';
import type { Order } from '../../core/orders/index.js';
import type { PeerEffect, PeerHeader } from '../../core/peer/index.js';
import { type Endpoint, poolOf } from '../../core/registry/backend.js';
import type { Random } from '../workload/index.js';
import type { FleetObserver } from './observer.js';
import type { SimulatedEngine } from './simulated-engine.js';
import { SimulatedEngineCalls } from './simulated-engine-calls.js';
import { type PendingRequest, SimulatedHttp } from './simulated-http.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedPlatform } from './simulated-platform.js';
import type { VirtualClock } from './virtual-clock.js';

const TICK_MS = 100;
const MAX_ENTROPY = 0xffffffff;

/** The identity of a simulated daemon. */
export interface SimulatedDaemonIdentity {
  readonly name: DaemonName;
  readonly zone: ZoneName;
  readonly endpoint: Endpoint;
  /** The rate of the daemon's clock relative to virtual time; 1 is true time. */
  readonly clockRate: number;
}

/** The parts of the simulation that a daemon uses. */
export interface SimulatedEnvironment {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly platform: SimulatedPlatform;
  readonly observer: FleetObserver;
  engine(name: string): SimulatedEngine | undefined;
  daemonAt(endpoint: Endpoint): SimulatedDaemon | undefined;
}

interface RunningDaemon {
  state: DaemonState;
  readonly http: SimulatedHttp;
  readonly engines: SimulatedEngineCalls;
  readonly startedAt: number;
  readonly incarnation: number;
  readonly changes: Map<string, (outcome: ChangeOutcome) => void>;
}

/** A node that runs a daemon, or none while the daemon is down. */
export class SimulatedDaemon {
  #running: RunningDaemon | null = null;
  #pausedUntil = 0;
  #inbox: DaemonEvent[] = [];
  #changes = 0;

  constructor(
    readonly identity: SimulatedDaemonIdentity,
    private readonly environment: SimulatedEnvironment,
  ) {
    this.start();
  }

  get name(): DaemonName {
    return this.identity.name;
  }

  get isUp(): boolean {
    return this.#running !== null;
  }

  /** The core's state; null while the daemon is down. */
  get state(): DaemonState | null {
    return this.#running?.state ?? null;
  }

  /** Starts a new incarnation without any state of an earlier one. */
  start(): void {
    if (this.#running !== null) {
      return;
    }
    const { clock, network } = this.environment;
    const incarnation = Math.floor(clock.now) + 1;
    const { name, zone, endpoint } = this.identity;
    const running: RunningDaemon = {
      state: createDaemonState({
        name,
        zone,
        incarnation,
        peerEndpoint: endpoint,
        seeds: [],
        maxWaitingPerClass: 1_000,
      }),
      http: new SimulatedHttp({
        node: name,
        clock,
        network,
        engine: (engine) => this.environment.engine(engine),
        emit: (event) => this.#receiveIn(running, event),
      }),
      engines: new SimulatedEngineCalls({
        daemon: name,
        network,
        engine: (engine) => this.environment.engine(engine),
        localNow: () => this.localNow(),
        emit: (event) => this.#receiveIn(running, event),
      }),
      startedAt: clock.now,
      incarnation,
      changes: new Map(),
    };
    this.#running = running;
    this.environment.observer.daemonStarted?.(name);
    this.#tick(running);
  }

  /** Kills the daemon at once. */
  kill(): void {
    this.#running?.http.closeAll();
    this.#running = null;
    this.#inbox = [];
    this.#pausedUntil = 0;
  }

  /** Suspends the process: events wait in the inbox while the clock advances. */
  pause(durationMs: number): void {
    const { clock } = this.environment;
    this.#pausedUntil = clock.now + durationMs;
    clock.scheduleAt(this.#pausedUntil, () => this.#wake());
  }

  /** Begins a planned stop. */
  stop(): void {
    this.receive({ kind: 'stop' });
  }

  /** Accepts a caller's request; false when the daemon is down or stopping. */
  acceptRequest(request: PendingRequest): boolean {
    const running = this.#running;
    if (running === null || running.state.stopping) {
      return false;
    }
    running.http.accept(request);
    const local = this.localNow();
    const { issued } = request;
    const remaining = issued.description.deadline - issued.description.arrivedAt;
    const description = { ...issued.description, arrivedAt: local, deadline: local + remaining };
    this.receive({ kind: 'request-arrived', description });
    return true;
  }

  /** The caller has closed its connection. */
  handleCallerDisconnect(request: string): void {
    this.#running?.http.handleCallerDisconnect(request);
    this.receive({ kind: 'caller-gone', request });
  }

  /** Submits an operator's change; `done` is not called when the daemon dies before it answers. */
  change(request: Omit<ChangeRequest, 'token'>, done: (outcome: ChangeOutcome) => void): void {
    const running = this.#running;
    if (running === null) {
      return;
    }
    this.#changes += 1;
    const token = `change-${this.#changes}`;
    running.changes.set(token, done);
    this.receive({ kind: 'change', request: { ...request, token } });
  }

  /** Handles an event now, or at the end of the current pause. */
  receive(event: DaemonEvent): void {
    const running = this.#running;
    if (running !== null) {
      this.#receiveIn(running, event);
    }
  }

  /** The daemon's own monotonic clock. */
  localNow(): number {
    const startedAt = this.#running?.startedAt ?? 0;
    return (this.environment.clock.now - startedAt) * this.identity.clockRate;
  }

  #receiveIn(running: RunningDaemon, event: DaemonEvent): void {
    if (this.#running !== running) {
      return;
    }
    if (this.environment.clock.now < this.#pausedUntil) {
      this.#inbox.push(event);
      return;
    }
    this.#step(running, event);
  }

  #wake(): void {
    if (this.environment.clock.now < this.#pausedUntil) {
      return;
    }
    const waiting = this.#inbox;
    this.#inbox = [];
    for (const event of waiting) {
      this.receive(event);
    }
  }

  #tick(running: RunningDaemon): void {
    if (this.#running !== running) {
      return;
    }
    const { clock } = this.environment;
    const isPaused = clock.now < this.#pausedUntil;
    if (!isPaused) {
      this.#step(running, { kind: 'tick' });
    }
    const next = isPaused ? this.#pausedUntil : clock.now + TICK_MS / this.identity.clockRate;
    clock.scheduleAt(next, () => this.#tick(running));
  }

  #step(running: RunningDaemon, event: DaemonEvent): void {
    const entropy = this.environment.random.integer(0, MAX_ENTROPY);
    const { state, effects } = stepDaemon(running.state, event, { now: this.localNow(), entropy });
    running.state = state;
    for (const effect of effects) {
      this.#perform(running, effect);
    }
  }

  #perform(running: RunningDaemon, effect: DaemonEffect): void {
    switch (effect.kind) {
      case 'dispatch':
      case 'refuse':
      case 'abort':
      case 'cancel':
      case 'replay':
        running.http.perform(effect);
        break;
      case 'table':
        this.environment.platform.table(this.name, effect.call, (result) =>
          this.#receiveIn(running, { kind: 'table-result', token: effect.token, result }),
        );
        break;
      case 'object':
        this.environment.platform.object(this.name, effect.call, (result) =>
          this.#receiveIn(running, { kind: 'object-result', token: effect.token, result }),
        );
        break;
      case 'list-machines':
        this.environment.platform.machines(this.name, (machines) =>
          this.#receiveIn(
            running,
            machines === null
              ? { kind: 'machines-unavailable' }
              : { kind: 'machines-listed', machines },
          ),
        );
        break;
      case 'peer-send':
        this.#sendToPeer(running, effect);
        break;
      case 'ask-report':
        running.engines.requestReport(effect.engine);
        break;
      case 'send-order':
        running.engines.sendOrder(effect, this.#maySend(running, effect.order));
        break;
      case 'query-order':
        running.engines.queryOrder(effect);
        break;
      case 'change-answer':
        this.environment.observer.changeAnswered(this.name, effect.outcome);
        running.changes.get(effect.token)?.(effect.outcome);
        break;
      case 'configuration-in-force':
        this.environment.observer.configurationInForce(this.name, effect.configuration.version);
        break;
      case 'stop-ready':
        this.kill();
        break;
      case 'check-health':
      case 'log':
      case 'attempt-started':
      case 'attempt-ended':
      case 'request-ended':
        break;
    }
  }

  #sendToPeer(running: RunningDaemon, effect: PeerEffect): void {
    const { network } = this.environment;
    const peer = this.environment.daemonAt(effect.to);
    if (peer === undefined) {
      return;
    }
    const header = this.#header(running);
    const { message } = effect;
    const from = this.identity.endpoint;
    const deliver = (): void => peer.receive({ kind: 'peer-received', from, header, message });
    if (effect.channel === 'datagram') {
      network.sendDatagram(this.name, peer.name, deliver);
    } else {
      network.sendReliably(this.name, peer.name, deliver);
    }
  }

  #header(running: RunningDaemon): PeerHeader {
    return {
      sender: this.name,
      incarnation: running.incarnation,
      sentAt: this.localNow(),
      inForce: running.state.configuration.inForce?.version ?? null,
      highestVersion: running.state.configuration.highestVersion,
    };
  }

  #maySend(running: RunningDaemon, order: Order): boolean {
    const machine = running.state.digest.engines.get(order.engine);
    const duty = machine === undefined ? undefined : running.state.duties.get(poolOf(machine));
    const authority = duty === undefined ? null : authorityOf(duty.lease);
    return maySendUnder(authority, order.fence.epoch, this.localNow());
  }
}
