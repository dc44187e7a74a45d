/** A fleet of simulated daemons with a network, a store, a machine list and engines. */
import type { Milliseconds } from '../../core/common/time.js';
import type { StepContext } from '../../core/common/transition.js';
import type { ChangeOutcome, ChangeRequest } from '../../core/configuration/index.js';
import type { LogEffect } from '../../core/logging/log-event.js';
import type { PeerEffect, PeerHeader } from '../../core/peer/index.js';
import type { Machine } from '../../core/registry/backend.js';
import { createAuthenticator, TAG_BYTES } from '../../shell/peer/authentication.js';
import { decodeEnvelope, encodeEnvelope } from '../../shell/peer/codec.js';
import { DEFAULT_PLATFORM_OPTIONS, PlatformModel } from '../platform/index.js';
import { Random } from '../workload/random.js';
import { reportOf } from './engine-report.js';
import type { DaemonSlot, FleetOptions, LoggedLine } from './fleet-options.js';
import { SimulatedDaemon } from './simulated-daemon.js';
import { type NetworkFaults, SimulatedNetwork } from './simulated-network.js';
import { SimulatedStore } from './simulated-store.js';
import { VirtualTime } from './virtual-time.js';

const TICK_MS: Milliseconds = 100;
const LIST_INTERVAL_MS: Milliseconds = 1_000;
/** Clocks start anywhere below this, so that nothing works only because clocks agree. */
const MAX_CLOCK_OFFSET_MS: Milliseconds = 1_000_000;
const ENGINE_DELAY_MS: Milliseconds = 2;
const MAX_RECORDED_POLLS = 8;
/** The bytes that a frame's length field and its two authentication tags add. */
const STREAM_OVERHEAD_BYTES = 36;

const DEFAULT_NETWORK: NetworkFaults = {
  loss: 0,
  duplication: 0,
  minDelayMs: 0.2,
  maxDelayMs: 2,
};

/** A simulated fleet; deterministic for a given seed. */
export class FleetSimulation {
  readonly time = new VirtualTime();
  readonly network: SimulatedNetwork;
  readonly store: SimulatedStore;
  readonly slots: readonly DaemonSlot[];
  readonly answers = new Map<string, ChangeOutcome>();
  /** The daemons' log lines, in order. */
  readonly logged: LoggedLine[] = [];
  /** The daemons that polled each engine last, the latest at the end. */
  readonly polls = new Map<string, readonly string[]>();
  /** Processor time spent in steps, encoding and decoding, in milliseconds of real time. */
  processorMs = 0;
  private readonly random: Random;
  private readonly slotsByPort = new Map<number, DaemonSlot>();
  private readonly engines: readonly Machine[];
  private readonly authenticator = createAuthenticator('a fleet key for simulations');
  private incarnations = 1_000;
  private list: readonly Machine[] = [];
  private machineListReadAt: Milliseconds = -TICK_MS;

  constructor(private readonly options: FleetOptions) {
    this.random = new Random(options.seed);
    const faults = { ...DEFAULT_NETWORK, ...options.network };
    this.network = new SimulatedNetwork(this.time, new Random(options.seed, 1), faults);
    const machineLagMs = options.machineLagMs ?? DEFAULT_PLATFORM_OPTIONS.machineLagMs;
    const platform = new PlatformModel({ ...DEFAULT_PLATFORM_OPTIONS, machineLagMs });
    this.store = new SimulatedStore(this.time, platform);
    this.slots = Array.from({ length: options.daemons }, (_, index) => this.createSlot(index));
    this.engines = Array.from({ length: options.engines ?? 0 }, (_, index) => ({
      kind: 'engine' as const,
      name: `engine-${index}`,
      zone: `zone-${index % options.zones}`,
      state: 'live' as const,
      address: '10.1.0.1',
      port: 1 + index,
      accelerator: 'new',
    }));
    for (const engine of this.engines) {
      platform.machines.put(engine, 0);
    }
  }

  /** Starts every daemon that is down. */
  startAll(): void {
    for (const slot of this.slots) {
      if (slot.daemon === null) this.start(slot);
    }
  }

  /** Starts a new incarnation of a daemon and adds it to the machine list. */
  start(slot: DaemonSlot): void {
    slot.generation += 1;
    slot.pausedUntil = 0;
    slot.clockOffset = this.random.integer(0, MAX_CLOCK_OFFSET_MS);
    this.incarnations += 1;
    const endpoint = { address: '10.0.0.1', port: slot.port };
    const { name, zone } = slot;
    const identity = { name, zone, endpoint, incarnation: this.incarnations };
    slot.daemon = new SimulatedDaemon(identity, this.environment(slot, slot.generation));
    const machine = { kind: 'daemon', name, zone, state: 'live', ...endpoint } as const;
    this.store.platform.machines.put(machine, this.time.now);
    this.every(slot, TICK_MS, (daemon) => daemon.tick());
    this.every(slot, LIST_INTERVAL_MS, (daemon) => daemon.applyMachineList(this.listedMachines()));
  }

  /** Kills a daemon at once; it stays on the machine list. */
  kill(slot: DaemonSlot): void {
    slot.daemon = null;
    slot.generation += 1;
  }

  /** Removes a daemon from the machine list. */
  delist(slot: DaemonSlot): void {
    this.store.platform.machines.remove(slot.name, this.time.now);
  }

  /** Suspends a daemon's process; events that arrive are delivered after the pause. */
  pause(slot: DaemonSlot, milliseconds: Milliseconds): void {
    slot.pausedUntil = this.time.now + milliseconds;
  }

  /** Advances virtual time, running all events up to then. */
  run(milliseconds: Milliseconds): void {
    this.time.runUntil(this.time.now + milliseconds);
  }

  /** Runs until the condition holds; returns the time taken, or null when the limit was reached. */
  runUntil(holds: () => boolean, limitMs: Milliseconds): Milliseconds | null {
    const start = this.time.now;
    const held = this.time.runWhile(() => !holds(), start + limitMs);
    return held ? this.time.now - start : null;
  }

  /** Submits a change to a daemon; its outcome appears in `answers` under the token. */
  change(slot: DaemonSlot, request: ChangeRequest): void {
    slot.daemon?.change(request);
  }

  /** The daemons that are running. */
  get running(): readonly SimulatedDaemon[] {
    return this.slots.flatMap((slot) => (slot.daemon === null ? [] : [slot.daemon]));
  }

  private createSlot(index: number): DaemonSlot {
    const slot: DaemonSlot = {
      name: `daemon-${index}`,
      zone: `zone-${index % this.options.zones}`,
      port: 7_000 + index,
      sent: { messages: 0, bytes: 0 },
      daemon: null,
      generation: 0,
      clockOffset: 0,
      pausedUntil: 0,
    };
    this.slotsByPort.set(slot.port, slot);
    return slot;
  }

  /** The machine list, read from the model at most once per tick, as many daemons use it. */
  private listedMachines(): readonly Machine[] {
    if (this.time.now >= this.machineListReadAt + TICK_MS) {
      this.machineListReadAt = this.time.now;
      this.list = this.store.platform.machines.read(this.time.now).machines;
    }
    return this.list;
  }

  private every(
    slot: DaemonSlot,
    interval: Milliseconds,
    run: (daemon: SimulatedDaemon) => void,
  ): void {
    const { generation } = slot;
    const repeat = (): void => {
      if (slot.generation === generation) {
        this.deliver(slot, generation, run);
        this.time.schedule(Math.max(interval, slot.pausedUntil - this.time.now), repeat);
      }
    };
    this.time.schedule(this.random.unit() * interval, repeat);
  }

  /**
   * Runs an event on a daemon, after its pause if it is paused; dropped when the incarnation that the
   * event is for has ended.
   */
  private deliver(
    slot: DaemonSlot,
    generation: number,
    run: (daemon: SimulatedDaemon) => void,
  ): void {
    const pause = slot.pausedUntil - this.time.now;
    if (pause > 0) {
      this.time.schedule(pause, () => this.deliver(slot, generation, run));
    } else if (slot.daemon !== null && slot.generation === generation) {
      const start = performance.now();
      run(slot.daemon);
      this.processorMs += performance.now() - start;
    }
  }

  private environment(slot: DaemonSlot, generation: number) {
    return {
      context: (): StepContext => ({
        now: this.time.now + slot.clockOffset,
        entropy: this.random.integer(0, 0xffffffff),
      }),
      send: (effect: PeerEffect, header: PeerHeader) => this.send(slot, effect, header),
      callTable: (effect: { token: string; call: Parameters<SimulatedStore['callTable']>[0] }) =>
        this.store.callTable(effect.call, (result) => {
          const event = { kind: 'table-result', token: effect.token, result } as const;
          this.deliver(slot, generation, (daemon) => daemon.receiveResult(event));
        }),
      callObject: (effect: { token: string; call: Parameters<SimulatedStore['callObject']>[0] }) =>
        this.store.callObject(effect.call, (result) => {
          const event = { kind: 'object-result', token: effect.token, result } as const;
          this.deliver(slot, generation, (daemon) => daemon.receiveResult(event));
        }),
      pollEngine: (engine: string) => this.pollEngine(slot, generation, engine),
      answer: (token: string, outcome: ChangeOutcome) => {
        this.answers.set(token, outcome);
      },
      log: ({ event, fields }: LogEffect) => {
        this.logged.push({
          at: this.time.now,
          daemon: slot.name,
          number: event.number,
          fields,
        });
      },
    };
  }

  private pollEngine(slot: DaemonSlot, generation: number, engine: string): void {
    const askedAt = this.time.now + slot.clockOffset;
    const report = reportOf(engine, this.time.now);
    this.polls.set(
      engine,
      [...(this.polls.get(engine) ?? []), slot.name].slice(-MAX_RECORDED_POLLS),
    );
    this.time.schedule(ENGINE_DELAY_MS, () => {
      const event = { kind: 'engine-report', report, askedAt } as const;
      this.deliver(slot, generation, (daemon) => daemon.receivePoll(event));
    });
  }

  private send(from: DaemonSlot, effect: PeerEffect, header: PeerHeader): void {
    const to = this.slotsByPort.get(effect.to.port);
    from.sent.messages += 1;
    const wire = this.options.wire === true ? this.encode(effect, header) : null;
    if (wire !== null) {
      const overhead = effect.channel === 'stream' ? STREAM_OVERHEAD_BYTES : TAG_BYTES;
      from.sent.bytes += wire.length + overhead;
    }
    if (to === undefined) {
      return;
    }
    const source = { address: '10.0.0.1', port: from.port };
    this.network.carry(from, to, effect.channel, () => {
      this.deliver(to, to.generation, (daemon) => {
        const envelope = wire === null ? { header, message: effect.message } : this.decode(wire);
        daemon.receive({ kind: 'peer-received', from: source, ...envelope });
      });
    });
  }

  private encode(effect: PeerEffect, header: PeerHeader): Buffer {
    const content = encodeEnvelope({ header, message: effect.message });
    this.authenticator.tag('datagram', content);
    return content;
  }

  private decode(wire: Buffer) {
    this.authenticator.tag('datagram', wire);
    return decodeEnvelope(wire)._unsafeUnwrap();
  }
}
