/**
 * Many daemons before few web servers, in virtual time: callers come in bursts and by uneven zones, what daemons have
 * under way goes to a relay and comes back in its sums, servers have few slots and turn calls away once their queue is full.
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
/** As a relay gathers its sums. */
const RELAY_GAP_MS = 60;
const LINK_MS = 2;
const NO_NOTICES = { reads: [], demand: [], reach: [] };

/** What varies between runs. */
export interface WebFleetOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly slots: number;
  readonly queue: number;
  readonly workMs: number;
  /** Of what the servers can do, over the whole run. */
  readonly utilisation: number;
  /** Whether daemons tell each other of their calls. */
  readonly isTold: boolean;
  /** How long they gather changes. */
  readonly daemonGapMs: number;
  /** Whether servers report their load with their answers. */
  readonly isReported: boolean;
  /** How long work takes at each server against the usual. */
  readonly slowness: readonly [number, number, number];
  readonly spanMs: number;
}

/** What came of a run. */
export interface WebFleetOutcome {
  readonly requests: number;
  /** Calls that a server turned away. */
  readonly sheds: number;
  /** Of those, calls that were turned away while another server had a free slot. */
  readonly shedsWithRoom: number;
  /** Requests that no server took. */
  readonly refused: number;
  /** For a slot, of the calls that were served. */
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
  isTelling: boolean;
}

/** Runs it. */
export function runWebFleet(options: WebFleetOptions): WebFleetOutcome {
  return new WebFleet(options).run();
}

class WebFleet {
  readonly #options: WebFleetOptions;
  readonly #random: () => number;
  readonly #events: Event[] = [];
  readonly #servers: readonly Server[];
  readonly #daemons: readonly Daemon[];
  /** What the relay of each zone has heard. */
  readonly #relays: ReadonlyMap<string, PeerLoads>;
  readonly #waitsMs: number[] = [];
  #nowMs = 0;
  #sequence = 0;
  #requests = 0;
  #sheds = 0;
  #shedsWithRoom = 0;
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
    const zonesTold = options.isTold ? ZONES : [];
    this.#relays = new Map(zonesTold.map((zone) => [zone, new PeerLoads()]));
    this.#daemons = Array.from({ length: options.daemons }, (_, index) => ({
      name: `front-${index}`,
      zone: ZONES[index % ZONES.length] ?? '',
      healths: new Map(this.#servers.map(({ record }) => [record.id, new ServerHealth()])),
      peers: new PeerLoads(),
      loads: new WebServerLoads(),
      isTelling: false,
    }));
  }

  run(): WebFleetOutcome {
    this.#arrive();
    for (const [index, zone] of ZONES.entries()) {
      this.#after((RELAY_GAP_MS * index) / ZONES.length, () => this.#tellSums(zone));
    }
    for (let event = this.#take(); event !== undefined; event = this.#take()) {
      this.#nowMs = event.atMs;
      event.run();
    }
    const waits = [...this.#waitsMs].sort((left, right) => left - right);
    return {
      requests: this.#requests,
      sheds: this.#sheds,
      shedsWithRoom: this.#shedsWithRoom,
      refused: this.#refused,
      meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length),
      p95WaitMs: waits[Math.floor(waits.length * 0.95)] ?? 0,
    };
  }

  /** Most calls come in bursts of half a second, and the zones take turns at the larger part of them. */
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
      const advertisedCalls = this.#options.isTold
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
      loadOf: this.#options.isTold || this.#options.isReported ? loadOf : undefined,
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
    this.#tellSoon(daemon);
    const close = () => {
      health.close(call);
      this.#tellSoon(daemon);
      this.#noteReport(daemon, server);
    };
    this.#after(LINK_MS, () =>
      this.#serve(server, {
        shed: () => {
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

  #serve(server: Server, call: { shed: () => void; done: () => void }): void {
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
    this.#sheds += 1;
    if (this.#servers.some(({ running }) => running < slots)) this.#shedsWithRoom += 1;
    this.#after(LINK_MS, call.shed);
  }

  #noteReport(daemon: Daemon, { record, running, queue }: Server): void {
    if (!this.#options.isReported) return;
    const ownCalls = daemon.healths.get(record.id)?.openCalls ?? 0;
    const figures = { running, waiting: queue.length, slots: record.slots, slowness: undefined };
    daemon.loads.recordReport(record.id, figures, ownCalls, this.#nowMs);
  }

  #ownWork({ healths }: Daemon): readonly EngineWork[] {
    return [...healths].flatMap(([engineId, { openCalls }]) =>
      openCalls > 0 ? [{ engineId, pendingMs: 0, lateMs: 0, running: openCalls }] : [],
    );
  }

  /** Goes to the relay of the zone. */
  #tellSoon(daemon: Daemon): void {
    const relay = this.#relays.get(daemon.zone);
    if (relay === undefined || daemon.isTelling) return;
    daemon.isTelling = true;
    this.#after(this.#options.daemonGapMs, () => {
      daemon.isTelling = false;
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

  /** To the daemons of the zone all that is known, to the other relays what the zone has. */
  #tellSums(zone: string): void {
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
    this.#after(RELAY_GAP_MS, () => this.#tellSums(zone));
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

  /** The next event lies at the end. */
  #take(): Event | undefined {
    return this.#events.pop();
  }
}
