/**
 * The daemon's reducer: passes each event to the components that handle it and merges their
 * effects. The same function runs in production, in the simulation and under the fuzzer.
 */
import type { PoolName } from '../common/identifiers.js';
import type { StepContext, Transition } from '../common/transition.js';
import { EMPTY_CONFIGURATION } from '../configuration/document.js';
import {
  type ConfigurationEffect,
  type ConfigurationEvent,
  stepConfiguration,
} from '../configuration/index.js';
import { type DigestEffect, type DigestEvent, stepDigest } from '../digest/index.js';
import {
  type MembershipEffect,
  type MembershipEvent,
  stepMembership,
} from '../membership/index.js';
import { type DemandMessage, datagram, type PeerMessage } from '../peer/index.js';
import type { TableResultEvent } from '../platform/table.js';
import type { Machine } from '../registry/backend.js';
import type { RequestTableEvent } from '../requests/index.js';
import { candidatePoolsOf, candidatesOf, heldPools, poolInputs } from './duties.js';
import type { DaemonEffect } from './effect.js';
import type { DaemonEvent } from './event.js';
import {
  initialPoolDuty,
  isDutyReleased,
  type PoolDutyEvent,
  type PoolDutyOutput,
  stepPoolDuty,
} from './pool-duty.js';
import { evaluatePlans, recordDemand } from './role-planning.js';
import type { DaemonState } from './state.js';

/** Shortest interval at which a daemon reads the machine list. */
const MACHINES_INTERVAL_MS = 1_000;
/** Limit for the whole fleet: daemons of a larger fleet read the machine list less often each. */
const FLEET_MACHINES_READS_PER_SECOND = 100;
const HEALTH_CHECK_INTERVAL_MS = 1_000;
/** Interval at which the pools that this daemon is a candidate for are recomputed. */
const CANDIDACY_INTERVAL_MS = 500;
const REQUEST_TOKEN_PREFIX = 'request:';

export function stepDaemon(
  state: DaemonState,
  event: DaemonEvent,
  context: StepContext,
): Transition<DaemonState, DaemonEffect> {
  const step = new DaemonStep(state, context);
  step.handle(event);
  return { state: step.state, effects: step.effects };
}

/** The working copy of one step. */
class DaemonStep {
  state: DaemonState;
  readonly effects: DaemonEffect[] = [];
  readonly #context: StepContext;

  constructor(state: DaemonState, context: StepContext) {
    this.state = state;
    this.#context = context;
  }

  handle(event: DaemonEvent): void {
    switch (event.kind) {
      case 'request-arrived':
        if (this.state.stopReady) this.#change({ stopReady: false });
        this.#stepTraffic(event);
        break;
      case 'attempt':
      case 'caller-gone':
      case 'cut':
        this.#stepTraffic(event);
        break;
      case 'tick':
        this.#tick();
        break;
      case 'peer-received':
        this.#stepMembership(event);
        this.#stepConfiguration(event);
        this.#stepDigest(event);
        this.#recordDemand(event.message);
        break;
      case 'table-result':
        this.#receiveTableResult(event);
        break;
      case 'object-result':
      case 'change':
        this.#stepConfiguration(event);
        break;
      case 'engine-report':
        this.#stepDigest({ kind: 'engine-report', report: event.report, askedAt: event.askedAt });
        break;
      case 'engine-silent':
        this.#stepDigest(event);
        break;
      case 'order-answer':
      case 'order-state':
        this.#stepDuties(() => event);
        break;
      case 'machines-listed':
        this.#setMachines(event.machines);
        break;
      case 'machines-unavailable':
        this.#change({ store: 'unreachable' });
        break;
      case 'web-health':
        this.state.traffic.setWebHealth(event.backend, event.healthy);
        break;
      case 'stop':
        this.#stop();
        break;
    }
    this.#checkStopReady();
  }

  #change(fields: Partial<DaemonState>): void {
    this.state = { ...this.state, ...fields };
  }

  #tick(): void {
    this.#listMachines();
    this.#checkHealth();
    this.#stepMembership({ kind: 'tick' });
    this.#stepConfiguration({ kind: 'tick' });
    this.#stepDigest({ kind: 'tick' });
    this.#planRoles();
    this.#tickDuties();
    this.#stepTraffic({ kind: 'tick' });
  }

  #listMachines(): void {
    if (this.#context.now < this.state.nextMachinesAt) {
      return;
    }
    const fleetInterval =
      (this.state.membership.members.size * 1_000) / FLEET_MACHINES_READS_PER_SECOND;
    const interval = Math.max(MACHINES_INTERVAL_MS, fleetInterval);
    this.#change({ nextMachinesAt: this.#context.now + interval });
    this.effects.push({ kind: 'list-machines' });
  }

  #checkHealth(): void {
    if (this.#context.now < this.state.nextHealthCheckAt) {
      return;
    }
    this.#change({ nextHealthCheckAt: this.#context.now + HEALTH_CHECK_INTERVAL_MS });
    for (const machine of this.state.machines) {
      if (machine.kind === 'web') {
        this.effects.push({ kind: 'check-health', machine });
      }
    }
  }

  #setMachines(machines: readonly Machine[]): void {
    const isSame = machines === this.state.machines;
    this.#change({ machines, machinesListed: true, store: 'reachable' });
    this.state.traffic.setMachines(machines);
    if (isSame) {
      return;
    }
    const daemons = machines.filter((machine) => machine.kind === 'daemon');
    this.#stepMembership({ kind: 'daemons-listed', daemons });
    const engines = machines.filter((machine) => machine.kind === 'engine');
    this.#stepDigest({ kind: 'engines-listed', engines });
  }

  #receiveTableResult(event: TableResultEvent): void {
    if (event.token.startsWith(REQUEST_TOKEN_PREFIX)) {
      this.#stepTraffic(event);
      return;
    }
    const failed = event.result.kind === 'unavailable' || event.result.kind === 'lost';
    this.#change({ store: failed ? 'unreachable' : 'reachable' });
    this.#stepConfiguration(event);
    this.#stepDuties(() => event);
  }

  #stepTraffic(event: RequestTableEvent): void {
    this.effects.push(...this.state.traffic.step(event, this.#context));
    for (const unknown of this.state.traffic.takeUnknownIncarnations()) {
      this.#stepMembership({ kind: 'life-named', ...unknown });
    }
  }

  #stepMembership(event: MembershipEvent): void {
    const { state, effects } = stepMembership(this.state.membership, event, this.#context);
    this.#change({ membership: state });
    this.state.traffic.setMembership(state);
    this.effects.push(...(effects satisfies readonly MembershipEffect[]));
  }

  #stepConfiguration(event: ConfigurationEvent): void {
    const before = this.state.configuration.inForce;
    const { state, effects } = stepConfiguration(
      this.state.configuration,
      event,
      this.#context,
      this.state.membership,
    );
    this.#change({ configuration: state });
    this.effects.push(...(effects satisfies readonly ConfigurationEffect[]));
    const { inForce } = state;
    if (inForce !== null && inForce !== before) {
      this.state.traffic.configure(inForce);
      this.effects.push({ kind: 'configuration-in-force', configuration: inForce });
      this.#stepMembership({ kind: 'version-in-force', version: inForce.version });
    }
  }

  #stepDigest(event: DigestEvent): void {
    const before = this.state.digest.views;
    const { state, effects } = stepDigest(
      this.state.digest,
      event,
      this.#context,
      this.state.membership,
    );
    this.#change({ digest: state });
    for (const effect of effects) {
      this.#applyDigestEffect(effect);
    }
    this.#applyChangedViews(before);
  }

  #applyDigestEffect(effect: DigestEffect): void {
    if (effect.kind !== 'poll-engine') {
      this.effects.push(effect);
      return;
    }
    const machine = this.state.digest.engines.get(effect.engine);
    if (machine !== undefined) {
      const endpoint = { address: machine.address, port: machine.port };
      this.effects.push({ kind: 'ask-report', engine: effect.engine, endpoint });
    }
  }

  #applyChangedViews(before: DaemonState['digest']['views']): void {
    const { views } = this.state.digest;
    if (views === before) {
      return;
    }
    for (const [engine, view] of views) {
      if (before.get(engine) !== view) {
        this.state.traffic.setView(view);
      }
    }
    this.effects.push(...this.state.traffic.admitWaiting(this.#context));
  }

  #tickDuties(): void {
    if (this.#context.now >= this.state.nextCandidacyAt) {
      this.#updateCandidacy();
    }
    this.#stepDuties((pool) => ({ kind: 'tick', ...poolInputs(this.state, pool) }));
  }

  #recordDemand(message: PeerMessage): void {
    if (message.kind === 'demand' && this.state.candidatePools.has(message.pool)) {
      const rolePlanning = recordDemand(this.state.rolePlanning, message.pool, message);
      this.#change({ rolePlanning });
    }
  }

  /** Reports demand to the candidates of each pool and re-evaluates the plans of the held pools. */
  #planRoles(): void {
    if (this.#context.now < this.state.rolePlanning.nextAt) {
      return;
    }
    for (const [pool, count] of this.state.traffic.demand.takeAndReset()) {
      this.#sendDemand({ kind: 'demand', pool, ...count });
    }
    const { document } = this.state.configuration.inForce ?? EMPTY_CONFIGURATION;
    const held = heldPools(this.state, this.#context.now);
    const { rolePlanning } = this.state;
    const { planning, effects } = evaluatePlans(rolePlanning, held, document, this.#context);
    this.#change({ rolePlanning: planning });
    this.effects.push(...effects);
  }

  #sendDemand(message: DemandMessage): void {
    for (const candidate of candidatesOf(this.state, message.pool)) {
      if (candidate.name === this.state.identity.name) {
        this.#recordDemand(message);
      } else {
        this.effects.push(datagram(candidate.endpoint, message));
      }
    }
  }

  /** Starts the duties of new candidate pools; drops released duties of pools no longer served. */
  #updateCandidacy(): void {
    const candidatePools = candidatePoolsOf(this.state);
    const duties = new Map(this.state.duties);
    for (const [pool, duty] of duties) {
      if (!candidatePools.has(pool) && isDutyReleased(duty)) {
        duties.delete(pool);
      }
    }
    const { name, incarnation } = this.state.identity;
    for (const pool of candidatePools) {
      if (!duties.has(pool)) {
        duties.set(pool, initialPoolDuty(pool, name, incarnation));
      }
    }
    const nextCandidacyAt = this.#context.now + CANDIDACY_INTERVAL_MS;
    this.#change({ candidatePools, duties, nextCandidacyAt });
  }

  #stepDuties(eventOf: (pool: PoolName) => PoolDutyEvent): void {
    const duties = new Map(this.state.duties);
    for (const [pool, duty] of duties) {
      const { state, effects } = stepPoolDuty(duty, eventOf(pool), this.#context);
      duties.set(pool, state);
      this.effects.push(...effects.filter(isForShell));
    }
    this.#change({ duties });
  }

  #stop(): void {
    if (this.state.stopping) {
      return;
    }
    this.#change({ stopping: true });
    this.#stepDuties(() => ({ kind: 'stop' }));
    this.#stepMembership({ kind: 'leave' });
  }

  #checkStopReady(): void {
    if (!this.state.stopping || this.state.stopReady) {
      return;
    }
    const { requests } = this.state.traffic;
    const requestsFinished = requests.activeCount === 0 && requests.settlingCount === 0;
    const dutiesReleased = [...this.state.duties.values()].every(isDutyReleased);
    if (requestsFinished && dutiesReleased) {
      this.#change({ stopReady: true });
      this.effects.push({ kind: 'stop-ready' });
    }
  }
}

type ShellOutput = Exclude<PoolDutyOutput, { kind: 'lease-acquired' | 'lease-lost' }>;

function isForShell(output: PoolDutyOutput): output is ShellOutput {
  return output.kind !== 'lease-acquired' && output.kind !== 'lease-lost';
}
