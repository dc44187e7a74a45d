/**
 * Simulates many daemons with few web servers in virtual time. Callers arrive in bursts and unevenly over the zones;
 * daemons report their calls to a relay and receive its sums; servers have few slots and refuse calls once their queue
 * is full.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  chooseWebServer,
  type EngineWork,
  type LoadSums,
  PeerLoads,
  ServerHealth,
  type ServerRecord,
  WebServerLoads,
} from '../../../src/core/gateway/index.js';

const ZONES = ['a', 'b', 'c'];
/** Interval at which a relay sends its sums. */
const RELAY_INTERVAL_MS = 60;
const LINK_MS = 2;
const NO_NOTICES = { reads: [], demand: [], reach: [] };

/** Settings of a run. */
export interface WebFleetOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly slots: number;
  readonly queue: number;
  readonly workMs: number;
  /** Share of the servers' capacity that requests use over the whole run. */
  readonly utilisation: number;
  /** Whether daemons advertise their calls to each other. */
  readonly isAdvertised: boolean;
  /** How long a daemon collects changes before it sends them. */
  readonly reportDelayMs: number;
  /** Whether servers report their load with their answers. */
  readonly isLoadReported: boolean;
  /** Processing time at each server relative to the usual one. */
  readonly slowness: readonly [number, number, number];
  readonly spanMs: number;
}

/** Result of a run. */
export interface WebFleetOutcome {
  readonly requests: number;
  /** Calls that a server refused. */
  readonly refusals: number;
  /** Refused calls for which another server had a free slot. */
  readonly refusalsWithFreeSlot: number;
  /** Requests that every server refused. */
  readonly refused: number;
  /** Mean wait for a slot, over the calls that were served. */
  readonly meanWaitMs: number;
  readonly p95WaitMs: number;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

interface Server {
  readonly record: ServerRecord;
  readonly slowness: number;
  running: number;
  readonly queue: (() => void)[];
}

interface Daemon {
  readonly name: string;
  readonly zone: string;
  readonly healths: Map<string, ServerHealth>;
  readonly peers: PeerLoads;
  readonly loads: WebServerLoads;
  isReportPending: boolean;
}

/** Runs a simulation. */
export function runWebFleet(options: WebFleetOptions): WebFleetOutcome {
  return new WebFleet(options).run();
}

class WebFleet {
  readonly #options: WebFleetOptions;
  readonly #random: () => number;
  readonly #events: Event[] = [];
  readonly #servers: readonly Server[];
  readonly #daemons: readonly Daemon[];
  /** What the relay of each zone has received. */
  readonly #relays: ReadonlyMap<string, PeerLoads>;
  readonly #waitsMs: number[] = [];
  #nowMs = 0;
  #sequence = 0;
  #requests = 0;
  #refusals = 0;
  #refusalsWithFreeSlot = 0;
  #refused = 0;

  constructor(options: WebFleetOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    this.#servers = ZONES.map((zone, index) => ({
      record: {
        id: `w-${index}`,
        service: 's',
        address: `10.0.0.${index}:80`,
        zone,
        slots: options.slots,
        state: 'ready',
        isSpot: false,
        stage: undefined,
      },
      slowness: options.slowness[index] ?? 1,
      running: 0,
      queue: [],
    }));
    const relayZones = options.isAdvertised ? ZONES : [];
    this.#relays = new Map(relayZones.map((zone) => [zone, new PeerLoads()]));
    this.#daemons = Array.from({ length: options.daemons }, (_, index) => ({
      name: `front-${index}`,
      zone: ZONES[index % ZONES.length] ?? '',
      healths: new Map(this.#servers.map(({ record }) => [record.id, new ServerHealth()])),
      peers: new PeerLoads(),
      loads: new WebServerLoads(),
      isReportPending: false,
    }));
  }

  run(): WebFleetOutcome {
    this.#arrive();
    for (const [index, zone] of ZONES.entries()) {
      this.#after((RELAY_INTERVAL_MS * index) / ZONES.length, () => this.#sendSums(zone));
    }
    for (let event = this.#take(); event !== undefined; event = this.#take()) {
      this.#nowMs = event.atMs;
      event.run();
    }
    const waits = [...this.#waitsMs].sort((left, right) => left - right);
    return {
      requests: this.#requests,
      refusals: this.#refusals,
      refusalsWithFreeSlot: this.#refusalsWithFreeSlot,
      refused: this.#refused,
      meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length),
      p95WaitMs: waits[Math.floor(waits.length * 0.95)] ?? 0,
    };
  }

  /** Most calls arrive in bursts of half a second, and the zones take turns in receiving the larger share. */
  #arrive(): void {
    const { utilisation, workMs, slots, spanMs } = this.#options;
    const capacityPerMs = this.#servers.reduce(
      (sum, { slowness }) => sum + slots / (workMs * slowness),
      0,
    );
    const factor = this.#nowMs % 2_000 < 500 ? 1.6 : 0.8;
    const gapMs = -Math.log(1 - this.#random()) / (capacityPerMs * utilisation * factor);
    if (this.#nowMs + gapMs > spanMs) return;
    this.#after(gapMs, () => {
      this.#requests += 1;
      const daemon = this.#daemonOfCaller();
      if (daemon !== undefined) this.#send(daemon, new Set());
      this.#arrive();
    });
  }

  #daemonOfCaller(): Daemon | undefined {
    const heavy = Math.floor(this.#nowMs / 5_000) % ZONES.length;
    const zone = this.#random() < 0.4 ? heavy : Math.floor(this.#random() * ZONES.length);
    const ofZone = this.#daemons.filter((daemon) => daemon.zone === ZONES[zone]);
    return ofZone[Math.floor(this.#random() * ofZone.length)];
  }

  #send(daemon: Daemon, triedIds: Set<string>): void {
    const healthOf = (id: string) => daemon.healths.get(id) ?? new ServerHealth();
    const loadOf = (id: string) => {
      const { openCalls: ownCalls, responseMs } = healthOf(id);
      const advertisedCalls = this.#options.isAdvertised
        ? daemon.peers.running(id, this.#nowMs)
        : undefined;
      const isCrowded = this.#options.daemons > this.#options.slots * this.#servers.length;
      return daemon.loads.estimate(
        id,
        { ownCalls, advertisedCalls, responseMs, isCrowded },
        this.#nowMs,
      );
    };
    const record = chooseWebServer({
      candidates: this.#servers.map((server) => server.record),
      excludedIds: triedIds,
      zone: daemon.zone,
      nowMs: this.#nowMs,
      entropy: this.#random(),
      healthOf,
      loadOf: this.#options.isAdvertised || this.#options.isLoadReported ? loadOf : undefined,
    });
    const server = this.#servers.find((other) => other.record.id === record?.id);
    if (server === undefined) {
      this.#refused += 1;
      return;
    }
    triedIds.add(server.record.id);
    const health = healthOf(server.record.id);
    const call = health.open(this.#nowMs);
    const sentMs = this.#nowMs;
    this.#scheduleReport(daemon);
    const close = () => {
      health.close(call);
      this.#scheduleReport(daemon);
      this.#recordReport(daemon, server);
    };
    this.#after(LINK_MS, () =>
      this.#serve(server, {
        refuse: () => {
          close();
          health.recordRefusal(this.#nowMs);
          this.#send(daemon, triedIds);
        },
        done: () => {
          close();
          health.recordSuccess(this.#nowMs - sentMs);
        },
      }),
    );
  }

  #serve(server: Server, call: { refuse: () => void; done: () => void }): void {
    const { slots, queue } = this.#options;
    const arrivedMs = this.#nowMs;
    const begin = () => {
      this.#waitsMs.push(this.#nowMs - arrivedMs);
      server.running += 1;
      const workMs = this.#options.workMs * server.slowness * (0.5 + this.#random());
      this.#after(workMs, () => {
        server.running -= 1;
        server.queue.shift()?.();
        this.#after(LINK_MS, call.done);
      });
    };
    if (server.running < slots) {
      begin();
      return;
    }
    if (server.queue.length < queue) {
      server.queue.push(begin);
      return;
    }
    this.#refusals += 1;
    if (this.#servers.some(({ running }) => running < slots)) this.#refusalsWithFreeSlot += 1;
    this.#after(LINK_MS, call.refuse);
  }

  #recordReport(daemon: Daemon, { record, running, queue }: Server): void {
    if (!this.#options.isLoadReported) return;
    const ownCalls = daemon.healths.get(record.id)?.openCalls ?? 0;
    const figures = { running, waiting: queue.length, slots: record.slots, slowness: undefined };
    daemon.loads.recordReport(record.id, figures, ownCalls, this.#nowMs);
  }

  #ownWork({ healths }: Daemon): readonly EngineWork[] {
    return [...healths].flatMap(([engineId, { openCalls }]) =>
      openCalls > 0 ? [{ engineId, pendingMs: 0, lateMs: 0, running: openCalls }] : [],
    );
  }

  /** Sends the daemon's calls to the relay of its zone after a delay in which changes are collected. */
  #scheduleReport(daemon: Daemon): void {
    const relay = this.#relays.get(daemon.zone);
    if (relay === undefined || daemon.isReportPending) return;
    daemon.isReportPending = true;
    this.#after(this.#options.reportDelayMs, () => {
      daemon.isReportPending = false;
      this.#sequence += 1;
      const report = {
        daemon: daemon.name,
        incarnation: 1,
        sequence: this.#sequence,
        work: this.#ownWork(daemon),
        ...NO_NOTICES,
      };
      this.#after(LINK_MS, () => relay.applyReport(report, this.#nowMs));
    });
  }

  /** Sends the sums over all zones to the daemons of the relay's zone, and the sums of the zone to the other relays. */
  #sendSums(zone: string): void {
    const relay = this.#relays.get(zone);
    if (relay === undefined || this.#nowMs > this.#options.spanMs) return;
    const ofAll = this.#sums(zone, relay.totals([], this.#nowMs));
    const ofZone = this.#sums(zone, relay.zoneTotals([], this.#nowMs));
    this.#after(LINK_MS, () => {
      for (const daemon of this.#daemons) {
        if (daemon.zone !== zone) continue;
        daemon.peers.applySums(ofAll, this.#ownWork(daemon), this.#nowMs);
      }
      for (const [otherZone, other] of this.#relays) {
        if (otherZone !== zone) other.applyZoneSums(zone, ofZone, this.#nowMs);
      }
    });
    this.#after(RELAY_INTERVAL_MS, () => this.#sendSums(zone));
  }

  #sums(zone: string, work: readonly EngineWork[]): LoadSums {
    this.#sequence += 1;
    const head = { relay: zone, incarnation: 1, sequence: this.#sequence, isComplete: true };
    return { ...head, work, ...NO_NOTICES };
  }

  #after(delayMs: number, run: () => void): void {
    const event = { atMs: this.#nowMs + delayMs, run };
    let index = this.#events.length;
    while (index > 0 && (this.#events[index - 1]?.atMs ?? 0) < event.atMs) index -= 1;
    this.#events.splice(index, 0, event);
  }

  /** The next event is at the end. */
  #take(): Event | undefined {
    return this.#events.pop();
  }
}
