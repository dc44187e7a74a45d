/**
 * The daemons of several zones following the list of servers in virtual time: the product's followers, digests and
 * messages with a simulated store. It measures how late after the store's acknowledgement a daemon still sends to a
 * server that departs.
 */
import {
  DigestSchedule,
  maxDigestSilenceMs,
  type PeerDaemon,
  RestoredServers,
  type ServerRecord,
} from '../../../src/core/gateway/index.js';
import { ClockExchange } from '../../../src/shell/gateway/clock-exchange.js';
import type { ClockMessage } from '../../../src/shell/gateway/clock-message-fields.js';
import { DepartureGossip } from '../../../src/shell/gateway/departure-gossip.js';
import type { DeparturesMessage } from '../../../src/shell/gateway/departure-message-fields.js';
import { FleetFollower } from '../../../src/shell/gateway/fleet-follower.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import { decodePeerMessage, encodePeerMessage } from '../../../src/shell/gateway/peer-messages.js';
import type { PlatformAdapter } from '../../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../../src/shell/gateway/relay-digest.js';
import {
  maxAnswerGapMs,
  maxDigestAgeMs,
  recheckSpans,
  type WatchRole,
  watchTiming,
} from '../../../src/shell/gateway/watch-timing.js';
import { emptyTable, ServersTable } from './servers-table.js';
import { StoreLink } from './store-link.js';
import { VirtualTimers } from './virtual-timers.js';

const DATAGRAM_MS = 2;
const RELAY_TICK_MS = 60;
const SAMPLE_MS = 10;
/** A departure that is not known everywhere by then counts as never known. */
const MAX_WATCHED_MS = 20_000;
const SERVICE = 'reader';
/** The clocks of daemons have nothing in common. */
const CLOCK_APART_MS = 7_919;

/** What a datagram carries. */
export type DatagramKind = 'servers' | 'digest' | 'departures' | 'clock';

/** How a server departs. */
export type DepartureWay = 'draining' | 'gone';

/** One daemon. */
export class DepartingDaemon {
  readonly link: StoreLink;
  readonly fleet: FleetView;
  readonly digest: RelayDigest;
  readonly follower: FleetFollower;
  readonly schedule = new DigestSchedule();
  readonly receiveNotice: (message: DeparturesMessage, sentAfterMs?: number) => void;
  readonly clocks: ClockExchange;
  /** Sends and receives nothing, as a stopped process. */
  isStopped = false;

  constructor(
    index: number,
    readonly zone: number,
    readonly role: WatchRole,
    table: ServersTable,
    world: DepartingFleet,
  ) {
    const { timers } = world;
    const { contactMs, drainMs, random } = world.options;
    this.fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, undefined, () =>
      timers.nowMs(),
    );
    this.link = new StoreLink(timers);
    this.digest = new RelayDigest(timers, maxDigestAgeMs(contactMs), maxDigestSilenceMs(drainMs));
    const adapter = {
      configurations: emptyTable(this.link, timers),
      servers: table.over(this.link),
    };
    const gossip = new DepartureGossip({
      roster: {
        allPeers: () => world.peersOf(this),
        zonePeers: () => world.peersOf(this).filter((peer) => peer.zone === `z-${zone}`),
        isLarge: world.options.hasRelays,
      },
      isRelay: () => role === 'relay',
      hasRelay: () => this.digest.isFresh,
      random,
      send: (peers, message) => world.sendNotice(this, peers, message),
      timers,
    });
    this.receiveNotice = (message, sentAfterMs = timers.nowMs()) =>
      this.follower.applyDepartureNotices(gossip.noticesIn(message, sentAfterMs));
    this.clocks = new ClockExchange({
      daemon: `d-${index}`,
      incarnation: index,
      timers: { nowMs: () => timers.nowMs() + CLOCK_APART_MS * index },
      datingTimers: timers,
      delays: { record: () => undefined },
    });
    this.follower = new FleetFollower({
      adapter: adapter as unknown as PlatformAdapter,
      fleet: this.fleet,
      cacheEventWatchers: {
        add: () => undefined,
        remove: () => undefined,
        restart: () => undefined,
      } as never,
      timing: () => watchTiming(role, contactMs),
      recheckSpans: recheckSpans(contactMs),
      maxAnswerGapMs: maxAnswerGapMs(contactMs),
      restored: new RestoredServers(contactMs),
      random,
      handleStoreRestored: () => undefined,
      forwardServers: (changes) => {
        if (role !== 'relay' || world.isTooLarge) return;
        world.send(this, 'servers', world.followersOf(this), ({ follower }, sentAfterMs) =>
          follower.applyServerChanges(changes, sentAfterMs),
        );
      },
      forwardConfiguration: () => undefined,
      recordDeparture: () => undefined,
      awaitConfirmation: () => undefined,
      declinesWork: ({ id }) => Promise.resolve(world.decliningIds.has(id)),
      advertiseDepartures: (departures) => gossip.advertise(departures),
      recordServerStart: () => undefined,
      digest: this.digest,
      timers,
      wallClock: () => timers.nowMs(),
      log: { write: () => undefined } as never,
      applyLimits: () => undefined,
      onConfigurationChanged: () => undefined,
      onServersChanged: () => undefined,
    });
  }

  /** Whether this daemon would send new work to a server. */
  uses(id: string, nowMs: number): boolean {
    return this.fleet.candidates(SERVICE, nowMs).some((server) => server.id === id);
  }
}

/** Parameters of a `DepartingFleet`. */
export interface DepartingFleetOptions {
  readonly zones: number;
  readonly daemonsPerZone: number;
  readonly contactMs: number;
  readonly drainMs: number;
  /** Whether the first daemon of each zone is its relay. */
  readonly hasRelays: boolean;
  readonly random: () => number;
}

/** Daemons, their store and the datagrams between them. */
export class DepartingFleet {
  readonly timers = new VirtualTimers();
  readonly daemons: readonly DepartingDaemon[];
  /** Whether changes of the list are too large for a datagram. */
  isTooLarge = false;
  /** Whether a datagram is lost. */
  isLost: (kind: DatagramKind, to: DepartingDaemon) => boolean = () => false;
  /** How long a datagram is on its way, beyond the usual time; each pair of daemons keeps the order. */
  delayMs: (from: DepartingDaemon, to: DepartingDaemon) => number = () => 0;
  /** When the last datagram of a pair of daemons arrives. */
  readonly #arrivals = new Map<string, number>();
  readonly options: DepartingFleetOptions;
  /** Servers that say at their health pages that they decline work. */
  readonly decliningIds = new Set<string>();
  datagrams = 0;
  noticeBytes = 0;
  readonly #table = new ServersTable(this.timers);
  #cancelChanges: () => void = () => undefined;

  constructor(options: DepartingFleetOptions) {
    this.options = options;
    const { zones, daemonsPerZone, hasRelays } = options;
    this.daemons = Array.from({ length: zones * daemonsPerZone }, (_, index) => {
      const isFirst = index % daemonsPerZone === 0;
      const role = !hasRelays ? 'alone' : isFirst ? 'relay' : 'follower';
      const zone = Math.floor(index / daemonsPerZone);
      return new DepartingDaemon(index, zone, role, this.#table, this);
    });
  }

  get relays(): readonly DepartingDaemon[] {
    return this.daemons.filter(({ role }) => role === 'relay');
  }

  get callsTotal(): number {
    return this.daemons.reduce((sum, { link }) => sum + link.calls, 0);
  }

  /** All daemons but one; their ports are their places. */
  peersOf(one: DepartingDaemon): readonly PeerDaemon[] {
    return this.daemons.flatMap((daemon, port) => {
      const peer = { name: `d-${port}`, host: '127.0.0.1', port, zone: `z-${daemon.zone}` };
      return daemon === one ? [] : [peer];
    });
  }

  /** Sends a notice of departures as datagrams. */
  sendNotice(
    from: DepartingDaemon,
    peers: readonly PeerDaemon[],
    message: DeparturesMessage,
  ): void {
    const bytes = encodePeerMessage(message);
    this.noticeBytes += bytes.length * peers.length;
    const recipients = peers.flatMap(({ port }) => this.daemons[port] ?? []);
    this.send(from, 'departures', recipients, (daemon, sentAfterMs) => {
      const received = decodePeerMessage(bytes);
      if (received?.kind === 'departures') daemon.receiveNotice(received, sentAfterMs);
    });
  }

  followersOf({ zone }: DepartingDaemon): readonly DepartingDaemon[] {
    return this.daemons.filter((daemon) => daemon.zone === zone && daemon.role === 'follower');
  }

  /** Starts the daemons with servers listed as ready, and lets them read the list. */
  async start(ids: readonly string[]): Promise<void> {
    for (const id of ids) this.list(id);
    for (const { follower } of this.daemons) follower.start();
    for (const relay of this.relays) this.#sendDigest(relay);
    await this.#pass(2 * this.options.contactMs);
  }

  stop(): void {
    this.#cancelChanges();
    for (const { follower } of this.daemons) follower.stop();
  }

  list(id: string, fields: Partial<ServerRecord> = {}): void {
    this.#table.write(id, serverOf(id, fields));
  }

  remove(id: string): void {
    this.#table.write(id, undefined);
  }

  /** Lists servers anew, one after another, so that the list never rests. */
  keepChanging(everyMs: number): void {
    let count = 0;
    const change = () => {
      count += 1;
      this.list(`other-${count % 40}`, { bornMs: count });
      this.#cancelChanges = this.timers.after(everyMs, change);
    };
    change();
  }

  /** Lets time pass; whatever the daemons do meanwhile takes place. */
  pass(spanMs: number): Promise<void> {
    return this.#pass(spanMs);
  }

  /**
   * A server departs.
   * @returns the time after which the last of the running daemons sends it no new work
   */
  async depart(id: string, way: DepartureWay): Promise<number> {
    if (way === 'gone') this.remove(id);
    else this.list(id, { state: 'draining' });
    const sinceMs = this.timers.nowMs();
    const running = this.daemons.filter(({ isStopped }) => !isStopped);
    const isUsed = () => running.some((daemon) => daemon.uses(id, this.timers.nowMs()));
    while (isUsed() && this.timers.nowMs() - sinceMs < MAX_WATCHED_MS) {
      await this.#pass(SAMPLE_MS);
    }
    return this.timers.nowMs() - sinceMs;
  }

  /** Sends a datagram that names the clock of its sender. */
  send(
    from: DepartingDaemon,
    kind: Exclude<DatagramKind, 'clock'>,
    recipients: readonly DepartingDaemon[],
    receive: (daemon: DepartingDaemon, sentAfterMs: number) => void,
  ): void {
    const stamp = from.clocks.stamp();
    this.#post(from, kind, recipients, (daemon) => {
      const ask = (question: ClockMessage) => this.#sendClock(daemon, from, question);
      receive(daemon, daemon.clocks.sentAfterMs(kind, stamp, ask));
    });
  }

  #sendClock(from: DepartingDaemon, to: DepartingDaemon, message: ClockMessage): void {
    this.#post(from, 'clock', [to], ({ clocks }) =>
      clocks.handleMessage(message, (answer) => this.#sendClock(to, from, answer)),
    );
  }

  #post(
    from: DepartingDaemon,
    kind: DatagramKind,
    recipients: readonly DepartingDaemon[],
    receive: (daemon: DepartingDaemon) => void,
  ): void {
    if (from.isStopped) return;
    this.datagrams += recipients.length;
    for (const daemon of recipients) {
      this.timers.after(this.#arrivalMs(from, daemon) - this.timers.nowMs(), () => {
        if (!daemon.isStopped && !this.isLost(kind, daemon)) receive(daemon);
      });
    }
  }

  #arrivalMs(from: DepartingDaemon, to: DepartingDaemon): number {
    const pair = `${this.daemons.indexOf(from)} ${this.daemons.indexOf(to)}`;
    const arrivalMs = this.timers.nowMs() + DATAGRAM_MS + this.delayMs(from, to);
    const inOrderMs = Math.max(arrivalMs, this.#arrivals.get(pair) ?? 0);
    this.#arrivals.set(pair, inOrderMs);
    return inOrderMs;
  }

  /** Daemons stop, as processes that get no processor time. */
  halt(daemons: readonly DepartingDaemon[]): void {
    for (const daemon of daemons) {
      daemon.isStopped = true;
      daemon.link.set('silent');
    }
  }

  #pass(spanMs: number): Promise<void> {
    return this.timers.advanceUntil(this.timers.nowMs() + spanMs);
  }

  #sendDigest(relay: DepartingDaemon): void {
    const digest = { ...relay.follower.digestToSend(), peersChecksum: 1 };
    if (!relay.isStopped && relay.schedule.next(digest, this.timers.nowMs()) !== 'nobody') {
      const followers = this.followersOf(relay);
      this.send(relay, 'digest', followers, (daemon, sentAfterMs) =>
        daemon.digest.apply(digest, 'relay', sentAfterMs),
      );
    }
    this.timers.after(RELAY_TICK_MS, () => this.#sendDigest(relay));
  }
}

function serverOf(id: string, fields: Partial<ServerRecord>): ServerRecord {
  return {
    id,
    service: SERVICE,
    address: `10.0.0.1:${id.length}`,
    zone: 'a',
    slots: 8,
    state: 'ready',
    isSpot: false,
    stage: undefined,
    bornMs: 1,
    softwareVersion: 'v1',
    ...fields,
  };
}
