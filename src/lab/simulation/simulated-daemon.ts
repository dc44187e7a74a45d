/**
 * A daemon as a node of the simulation: the production reducer under a drifting local clock, with
 * simulated shells. It can be paused, killed and started anew under its name.
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
import { type HeldRequest, SimulatedHttp } from './simulated-http.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedPlatform } from './simulated-platform.js';
import type { VirtualClock } from './virtual-clock.js';

const TICK_MS = 100;
const MAX_ENTROPY = 0xffffffff;

/** Who a simulated daemon is. */
export interface SimulatedDaemonIdentity {
  readonly name: DaemonName;
  readonly zone: ZoneName;
  readonly endpoint: Endpoint;
  /** How fast its clock runs; 1 is true time. */
  readonly clockRate: number;
}

/** What it lives among. */
export interface SimulatedSurroundings {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly platform: SimulatedPlatform;
  readonly observer: FleetObserver;
  engine(name: string): SimulatedEngine | undefined;
  daemonAt(endpoint: Endpoint): SimulatedDaemon | undefined;
}

interface Life {
  state: DaemonState;
  readonly http: SimulatedHttp;
  readonly engines: SimulatedEngineCalls;
  readonly bornAt: number;
  readonly incarnation: number;
  readonly changes: Map<string, (outcome: ChangeOutcome) => void>;
}

/** A node with a daemon. */
export class SimulatedDaemon {
  #life: Life | null = null;
  #pausedUntil = 0;
  #inbox: DaemonEvent[] = [];
  #changes = 0;

  constructor(
    readonly identity: SimulatedDaemonIdentity,
    private readonly surroundings: SimulatedSurroundings,
  ) {
    this.start();
  }

  get name(): DaemonName {
    return this.identity.name;
  }

  get isUp(): boolean {
    return this.#life !== null;
  }

  /** The core's state; null while the daemon is down. */
  get state(): DaemonState | null {
    return this.#life?.state ?? null;
  }

  /** Starts a new life; nothing of an earlier one is kept. */
  start(): void {
    if (this.#life !== null) {
      return;
    }
    const { clock, network } = this.surroundings;
    const incarnation = Math.floor(clock.now) + 1;
    const { name, zone, endpoint } = this.identity;
    const life: Life = {
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
        engine: (engine) => this.surroundings.engine(engine),
        emit: (event) => this.#receiveIn(life, event),
      }),
      engines: new SimulatedEngineCalls({
        daemon: name,
        network,
        engine: (engine) => this.surroundings.engine(engine),
        localNow: () => this.localNow(),
        emit: (event) => this.#receiveIn(life, event),
      }),
      bornAt: clock.now,
      incarnation,
      changes: new Map(),
    };
    this.#life = life;
    this.surroundings.observer.daemonStarted?.(name);
    this.#tick(life);
  }

  /** Ends the life at once. */
  kill(): void {
    this.#life?.http.die();
    this.#life = null;
    this.#inbox = [];
    this.#pausedUntil = 0;
  }

  /** Stops the process for a while: nothing is taken in, and the clock goes on. */
  pause(durationMs: number): void {
    const { clock } = this.surroundings;
    this.#pausedUntil = clock.now + durationMs;
    clock.at(this.#pausedUntil, () => this.#wake());
  }

  /** Begins a planned stop. */
  stop(): void {
    this.receive({ kind: 'stop' });
  }

  /** Takes a caller's request; false when nobody listens. */
  takeRequest(request: HeldRequest): boolean {
    const life = this.#life;
    if (life === null || life.state.stopping) {
      return false;
    }
    life.http.hold(request);
    const local = this.localNow();
    const { issued } = request;
    const remaining = issued.description.deadline - issued.description.arrivedAt;
    const description = { ...issued.description, arrivedAt: local, deadline: local + remaining };
    this.receive({ kind: 'request-arrived', description });
    return true;
  }

  /** The caller has closed its connection. */
  callerGone(request: string): void {
    this.#life?.http.callerGone(request);
    this.receive({ kind: 'caller-gone', request });
  }

  /** Submits an operator's change; the answer never comes when the daemon dies before. */
  change(request: Omit<ChangeRequest, 'token'>, done: (outcome: ChangeOutcome) => void): void {
    const life = this.#life;
    if (life === null) {
      return;
    }
    this.#changes += 1;
    const token = `change-${this.#changes}`;
    life.changes.set(token, done);
    this.receive({ kind: 'change', request: { ...request, token } });
  }

  /** Takes an event in, now or at the end of a pause. */
  receive(event: DaemonEvent): void {
    const life = this.#life;
    if (life !== null) {
      this.#receiveIn(life, event);
    }
  }

  /** The daemon's own monotonic clock. */
  localNow(): number {
    const bornAt = this.#life?.bornAt ?? 0;
    return (this.surroundings.clock.now - bornAt) * this.identity.clockRate;
  }

  #receiveIn(life: Life, event: DaemonEvent): void {
    if (this.#life !== life) {
      return;
    }
    if (this.surroundings.clock.now < this.#pausedUntil) {
      this.#inbox.push(event);
      return;
    }
    this.#step(life, event);
  }

  #wake(): void {
    if (this.surroundings.clock.now < this.#pausedUntil) {
      return;
    }
    const waiting = this.#inbox;
    this.#inbox = [];
    for (const event of waiting) {
      this.receive(event);
    }
  }

  #tick(life: Life): void {
    if (this.#life !== life) {
      return;
    }
    const { clock } = this.surroundings;
    const isPaused = clock.now < this.#pausedUntil;
    if (!isPaused) {
      this.#step(life, { kind: 'tick' });
    }
    const next = isPaused ? this.#pausedUntil : clock.now + TICK_MS / this.identity.clockRate;
    clock.at(next, () => this.#tick(life));
  }

  #step(life: Life, event: DaemonEvent): void {
    const entropy = this.surroundings.random.integer(0, MAX_ENTROPY);
    const { state, effects } = stepDaemon(life.state, event, { now: this.localNow(), entropy });
    life.state = state;
    for (const effect of effects) {
      this.#perform(life, effect);
    }
  }

  #perform(life: Life, effect: DaemonEffect): void {
    switch (effect.kind) {
      case 'dispatch':
      case 'refuse':
      case 'abort':
      case 'cancel':
      case 'replay':
        life.http.perform(effect);
        break;
      case 'table':
        this.surroundings.platform.table(this.name, effect.call, (result) =>
          this.#receiveIn(life, { kind: 'table-result', token: effect.token, result }),
        );
        break;
      case 'object':
        this.surroundings.platform.object(this.name, effect.call, (result) =>
          this.#receiveIn(life, { kind: 'object-result', token: effect.token, result }),
        );
        break;
      case 'list-machines':
        this.surroundings.platform.machines(this.name, (machines) =>
          this.#receiveIn(
            life,
            machines === null
              ? { kind: 'machines-unavailable' }
              : { kind: 'machines-listed', machines },
          ),
        );
        break;
      case 'peer-send':
        this.#sendToPeer(life, effect);
        break;
      case 'ask-report':
        life.engines.askReport(effect.engine);
        break;
      case 'send-order':
        life.engines.sendOrder(effect, this.#maySend(life, effect.order));
        break;
      case 'query-order':
        life.engines.askOrder(effect);
        break;
      case 'change-answer':
        this.surroundings.observer.changeAnswered(this.name, effect.outcome);
        life.changes.get(effect.token)?.(effect.outcome);
        break;
      case 'configuration-in-force':
        this.surroundings.observer.configurationInForce(this.name, effect.configuration.version);
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

  #sendToPeer(life: Life, effect: PeerEffect): void {
    const { network } = this.surroundings;
    const peer = this.surroundings.daemonAt(effect.to);
    if (peer === undefined) {
      return;
    }
    const header = this.#header(life);
    const { message } = effect;
    const from = this.identity.endpoint;
    const deliver = (): void => peer.receive({ kind: 'peer-received', from, header, message });
    if (effect.channel === 'datagram') {
      network.sendDatagram(this.name, peer.name, deliver);
    } else {
      network.sendReliably(this.name, peer.name, deliver);
    }
  }

  #header(life: Life): PeerHeader {
    return {
      sender: this.name,
      incarnation: life.incarnation,
      sentAt: this.localNow(),
      inForce: life.state.configuration.inForce?.version ?? null,
      highestVersion: life.state.configuration.highestVersion,
    };
  }

  #maySend(life: Life, order: Order): boolean {
    const machine = life.state.digest.engines.get(order.engine);
    const duty = machine === undefined ? undefined : life.state.duties.get(poolOf(machine));
    const authority = duty === undefined ? null : authorityOf(duty.lease);
    return maySendUnder(authority, order.fence.epoch, this.localNow());
  }
}
