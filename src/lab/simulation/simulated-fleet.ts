/** A simulated fleet in virtual time: platform, engines, daemons, callers and their network. */

import { ok } from 'neverthrow';
import type { ZoneName } from '../../core/common/identifiers.js';
import type { ConfigurationDocument } from '../../core/configuration/document.js';
import type { ChangeOutcome } from '../../core/configuration/index.js';
import { applyCommands, type Command, parseStatement } from '../../core/language/index.js';
import type { DaemonMachine, Endpoint, EngineMachine } from '../../core/registry/backend.js';
import type { EngineModelOptions } from '../engine/index.js';
import { DEFAULT_PLATFORM_OPTIONS, type PlatformOptions } from '../platform/index.js';
import { Random } from '../workload/index.js';
import type { FleetObserver } from './observer.js';
import { SimulatedCallers } from './simulated-caller.js';
import { SimulatedDaemon, type SimulatedEnvironment } from './simulated-daemon.js';
import { SimulatedEngine } from './simulated-engine.js';
import { DEFAULT_NETWORK, type NetworkOptions, SimulatedNetwork } from './simulated-network.js';
import { PLATFORM_NODE, SimulatedPlatform } from './simulated-platform.js';
import { VirtualClock } from './virtual-clock.js';

const ENGINE_PORT = 8_000;
const PEER_PORT = 9_000;
/** The largest relative error of a daemon's clock. */
const MAX_CLOCK_DRIFT = 0.01;

/** An engine of the fleet. */
export interface FleetEngine extends Omit<EngineModelOptions, 'boot' | 'seed'> {
  readonly zone: ZoneName;
}

/** A daemon of the fleet. */
export interface FleetDaemon {
  readonly name: string;
  readonly zone: ZoneName;
}

/** The parts of a fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly engines: readonly FleetEngine[];
  readonly daemons: readonly FleetDaemon[];
  readonly platform?: PlatformOptions;
  readonly network?: Partial<NetworkOptions>;
}

/** The fleet. It is deterministic in its options and the calls made on it. */
export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly network: SimulatedNetwork;
  readonly platform: SimulatedPlatform;
  readonly callers: SimulatedCallers;
  readonly random: Random;
  readonly #engines = new Map<string, SimulatedEngine>();
  readonly #daemons = new Map<string, SimulatedDaemon>();
  readonly #daemonsByAddress = new Map<string, SimulatedDaemon>();

  constructor(options: FleetOptions, observer: FleetObserver) {
    this.random = new Random(options.seed);
    const networkOptions = { ...DEFAULT_NETWORK, ...options.network };
    this.network = new SimulatedNetwork(this.clock, new Random(options.seed, 1), networkOptions);
    const platform = options.platform ?? DEFAULT_PLATFORM_OPTIONS;
    this.platform = new SimulatedPlatform(platform, this.clock, this.network);
    this.callers = new SimulatedCallers(this.clock, this.network, observer);
    this.network.place(PLATFORM_NODE, PLATFORM_NODE);
    options.engines.forEach((engine, index) => {
      this.#addEngine(engine, index, options.seed, observer);
    });
    options.daemons.forEach((daemon, index) => {
      this.#addDaemon(daemon, index, options.seed, observer);
    });
  }

  /** Advances virtual time, running all events up to then. */
  run(durationMs: number): void {
    this.clock.runUntil(this.clock.now + durationMs);
  }

  engine(name: string): SimulatedEngine | undefined {
    return this.#engines.get(name);
  }

  daemon(name: string): SimulatedDaemon | undefined {
    return this.#daemons.get(name);
  }

  engines(): readonly SimulatedEngine[] {
    return [...this.#engines.values()];
  }

  daemons(): readonly SimulatedDaemon[] {
    return [...this.#daemons.values()];
  }

  /** Puts a complete configuration document in force through a daemon. */
  putDocument(
    daemon: SimulatedDaemon,
    id: string,
    document: ConfigurationDocument,
    done: (outcome: ChangeOutcome) => void,
  ): void {
    const apply = () => ok({ document, description: ['whole document'] });
    daemon.change({ id, digest: id, ifVersion: null, dryRun: false, apply }, done);
  }

  /** Submits an operator's statement to a daemon. */
  command(
    daemon: SimulatedDaemon,
    id: string,
    text: string,
    done: (outcome: ChangeOutcome) => void,
  ): void {
    const commands = commandsOf(text);
    const apply = (document: ConfigurationDocument) => applyCommands(document, commands);
    daemon.change({ id, digest: text, ifVersion: null, dryRun: false, apply }, done);
  }

  #addEngine(engine: FleetEngine, index: number, seed: number, observer: FleetObserver): void {
    const { zone, ...options } = engine;
    const machine: EngineMachine = {
      kind: 'engine',
      name: engine.name,
      zone,
      state: 'live',
      address: `10.0.0.${index + 1}`,
      port: ENGINE_PORT,
      accelerator: engine.accelerator,
    };
    this.network.place(engine.name, zone);
    const node = new SimulatedEngine(
      machine,
      { ...options, seed: seed + index },
      this.clock,
      observer,
    );
    this.#engines.set(engine.name, node);
    this.platform.model.machines.put(machine, this.clock.now);
  }

  #addDaemon(daemon: FleetDaemon, index: number, seed: number, observer: FleetObserver): void {
    const endpoint: Endpoint = { address: `10.0.1.${index + 1}`, port: PEER_PORT };
    const machine: DaemonMachine = {
      kind: 'daemon',
      name: daemon.name,
      zone: daemon.zone,
      state: 'live',
      ...endpoint,
    };
    this.network.place(daemon.name, daemon.zone);
    this.platform.model.machines.put(machine, this.clock.now);
    const environment: SimulatedEnvironment = {
      clock: this.clock,
      random: new Random(seed, 100 + index),
      network: this.network,
      platform: this.platform,
      observer,
      engine: (name) => this.#engines.get(name),
      daemonAt: ({ address }) => this.#daemonsByAddress.get(address),
    };
    const clockRate = 1 + MAX_CLOCK_DRIFT * (2 * this.random.unit() - 1);
    const node = new SimulatedDaemon({ ...daemon, endpoint, clockRate }, environment);
    this.#daemons.set(daemon.name, node);
    this.#daemonsByAddress.set(endpoint.address, node);
  }
}

function commandsOf(text: string): readonly Command[] {
  const statement = parseStatement(text);
  if (statement.isErr()) {
    throw new Error(statement.error.message);
  }
  if (statement.value.kind !== 'change') {
    throw new Error('the statement is a query; give a command that changes the configuration');
  }
  return statement.value.commands;
}
