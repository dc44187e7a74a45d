/**
 * Daemons that keep streams at their software version, in virtual time: the product's followers and messages with a
 * simulated store. A test cuts daemons off from the store and from each other, stops them, and takes streams up at any.
 */
import {
  DigestSchedule,
  type GatewayConfiguration,
  originAt,
  type PeerDaemon,
  PeerRoster,
  type RequestDescription,
  RestoredServers,
  type ResumptionDecision,
  type Route,
  type ServerRecord,
} from '../../../src/core/gateway/index.js';
import type { LogEvent } from '../../../src/core/logging/log-event.js';
import type { Exchange } from '../../../src/shell/gateway/exchange.js';
import { FleetFollower } from '../../../src/shell/gateway/fleet-follower.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import { decodePeerMessage, encodePeerMessage } from '../../../src/shell/gateway/peer-messages.js';
import type { PlatformAdapter } from '../../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../../src/shell/gateway/relay-digest.js';
import { StreamContinuity } from '../../../src/shell/gateway/stream-continuity.js';
import type { StreamMessage } from '../../../src/shell/gateway/stream-message-fields.js';
import {
  maxAnswerGapMs,
  maxDigestAgeMs,
  recheckSpans,
  type WatchRole,
  watchTiming,
} from '../../../src/shell/gateway/watch-timing.js';
import { route } from './fixture.js';
import { emptyTable, ServersTable } from './servers-table.js';
import { StoreLink } from './store-link.js';
import { VirtualTimers } from './virtual-timers.js';

export const CONTACT_MS = 3_000;
const DATAGRAM_MS = 2;
const RELAY_TICK_MS = 60;
const SERVICE = 'reader';
const ROUTE_TIMEOUT_MS = 5_000;
/** No stream of the route lives longer. */
export const LONGER_THAN_ANY_STREAM_MS = 3 * ROUTE_TIMEOUT_MS + 1_000;
/** Enough for a change of the list to reach every daemon that follows it. */
const LIST_CHANGE_MS = 1_000;

const ROUTE = {
  ...route({
    name: 'check',
    pathPrefix: '/check/',
    kind: 'streaming',
    timeoutMs: ROUTE_TIMEOUT_MS,
  }),
  isPublic: false,
  resumable: true,
  traffic: [{ service: SERVICE, weight: 1 }],
} as unknown as Route;

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [ROUTE],
  services: new Map(),
  tenants: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** A stream whose first event has reached its caller. */
export interface BegunStream {
  readonly id: string;
  readonly softwareVersion: string;
}

/** One life of a daemon. */
export class StreamDaemon {
  readonly link: StoreLink;
  readonly roster: PeerRoster;
  readonly fleet: FleetView;
  readonly streams: StreamContinuity;
  readonly digest: RelayDigest;
  readonly schedule = new DigestSchedule();
  readonly follower: FleetFollower;
  readonly events: LogEvent[] = [];
  /** Sends and receives nothing, as a process that was killed. */
  isStopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly role: WatchRole,
    private readonly world: StreamFleet,
    table: ServersTable,
  ) {
    const { timers } = world;
    const log = { write: (event: LogEvent) => void this.events.push(event) };
    this.fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, undefined, () =>
      timers.nowMs(),
    );
    this.link = new StoreLink(timers);
    this.roster = new PeerRoster({ name, zone });
    this.digest = new RelayDigest(timers, maxDigestAgeMs(CONTACT_MS));
    this.follower = new FleetFollower({
      adapter: {
        configurations: emptyTable(this.link, timers),
        servers: table.over(this.link),
      } as unknown as PlatformAdapter,
      fleet: this.fleet,
      cacheEventWatchers: {
        add: () => undefined,
        remove: () => undefined,
        restart: () => undefined,
      } as never,
      timing: () => watchTiming(role, CONTACT_MS),
      recheckSpans: recheckSpans(CONTACT_MS),
      maxAnswerGapMs: maxAnswerGapMs(CONTACT_MS),
      restored: new RestoredServers(CONTACT_MS),
      random: () => 0.5,
      handleStoreRestored: () => undefined,
      forwardServers: () => undefined,
      forwardConfiguration: () => undefined,
      recordDeparture: () => undefined,
      awaitConfirmation: () => undefined,
      declinesWork: () => Promise.resolve(false),
      advertiseDepartures: () => undefined,
      recordServerStart: () => undefined,
      digest: this.digest,
      timers,
      wallClock: () => timers.nowMs(),
      log: log as never,
      applyLimits: () => undefined,
      onConfigurationChanged: () => undefined,
      onServersChanged: () => this.streams.handleServersChanged(),
    });
    this.streams = new StreamContinuity({
      daemon: name,
      zone,
      fleet: this.fleet,
      roster: this.roster,
      send: (peers, message) => world.send(this, peers, message),
      readServers: (limitMs) => this.follower.readServersAgain(limitMs),
      serversFollowedMs: () => this.follower.serversFollowedMs(),
      timers,
      log: log as never,
      metrics: { recordStreamRecord: () => undefined, recordResumption: () => undefined },
    });
    this.fleet.applyConfiguration(CONFIGURATION, timers.nowMs());
    this.streams.handleConfigurationChanged();
    this.follower.start();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
    this.streams.stop();
  }

  /** Sends the first event of a new stream to its caller, at the only listed server of a version. */
  begin(id: string, softwareVersion: string): Promise<void> | undefined {
    const servers = [...this.fleet.directory.all()];
    const server = servers.find((listed) => listed.softwareVersion === softwareVersion);
    if (server === undefined) throw new Error(`${this.name} lists no server of ${softwareVersion}`);
    const exchange = {
      streamOrigin: undefined,
      fixStreamOrigin: () => originAt(server),
      options: { description: { attemptId: id }, route: ROUTE, timers: this.world.timers },
    };
    return this.streams.recordFirstEvent(exchange as unknown as Exchange, server);
  }

  takeUp(id: string): Promise<ResumptionDecision | undefined> {
    const description = { attemptId: `${id} again`, resumption: { streamId: id } };
    return this.streams.decideResumption(description as unknown as RequestDescription, ROUTE);
  }
}

/** The daemons, their store and the datagrams between them. */
export class StreamFleet {
  readonly timers = new VirtualTimers();
  /** The daemon that runs under each name. */
  readonly daemons = new Map<string, StreamDaemon>();
  /** Whether a datagram between two daemons is lost. */
  isCut: (from: string, to: string) => boolean = () => false;
  readonly #table = new ServersTable(this.timers);
  /** What daemons that stand still read as they go on, by their names. */
  readonly #unread = new Map<string, (() => void)[]>();
  #streams = 0;

  /**
   * @param zones the zone of each daemon, by its name
   * @param relays the daemons that follow the list for their zones
   */
  async start(
    zones: Readonly<Record<string, string>>,
    relays: readonly string[] = [],
  ): Promise<void> {
    for (const [name, zone] of Object.entries(zones)) {
      const role = relays.includes(name) ? 'relay' : 'follower';
      this.#run(name, zone, relays.length === 0 ? 'alone' : role);
    }
    for (const name of relays) this.#sendDigest(name);
    for (const name of this.daemons.keys()) this.listPeers(name, Object.keys(zones));
    await this.pass(LIST_CHANGE_MS);
  }

  stop(): void {
    for (const daemon of this.daemons.values()) daemon.stop();
  }

  daemon(name: string): StreamDaemon {
    const daemon = this.daemons.get(name);
    if (daemon === undefined) throw new Error(`there is no daemon ${name}`);
    return daemon;
  }

  /** A daemon reads a list of daemons. */
  listPeers(reader: string, names: readonly string[]): void {
    const peers = names.map((name) => this.#peer(name));
    this.daemon(reader).roster.replace(peers, this.timers.nowMs());
  }

  /** Lists a server of a version, until the daemons that follow the list know it. */
  async join(softwareVersion: string): Promise<void> {
    const id = `i-${softwareVersion}`;
    this.#table.write(id, serverOf(id, softwareVersion));
    await this.pass(LIST_CHANGE_MS);
  }

  /** The server of a version is gone, with its row. */
  async leave(softwareVersion: string): Promise<void> {
    this.#table.write(`i-${softwareVersion}`, undefined);
    await this.pass(LIST_CHANGE_MS);
  }

  /** Cuts daemons off from the store and from all others; they still reach each other. */
  cutOff(names: readonly string[]): void {
    for (const name of names) this.daemon(name).link.set('silent');
    this.isCut = (from, to) => names.includes(from) !== names.includes(to);
  }

  /** Ends a cut between daemons; links to the store stay as they are. */
  reconnect(): void {
    this.isCut = () => false;
  }

  /** Daemons get no processor time. */
  standStill(names: readonly string[]): void {
    for (const name of names) {
      this.daemon(name).link.set('silent');
      this.#unread.set(name, []);
    }
  }

  /** Daemons that stood still go on, and read what has arrived. */
  goOn(names: readonly string[]): void {
    for (const name of names) {
      const unread = this.#unread.get(name) ?? [];
      this.#unread.delete(name);
      this.daemon(name).link.set('open');
      for (const read of unread) read();
    }
  }

  kill(names: readonly string[]): void {
    for (const name of names) this.daemon(name).stop();
  }

  /** Starts killed daemons again, which have forgotten everything. */
  restart(names: readonly string[]): void {
    for (const name of names) {
      const { zone, role } = this.daemon(name);
      this.#run(name, zone, role);
      this.listPeers(name, [...this.daemons.keys()]);
    }
  }

  /** A stream begins at a daemon, and its first event reaches its caller. */
  async begin(name: string, softwareVersion: string): Promise<BegunStream> {
    this.#streams += 1;
    const id = `stream-${this.#streams}`;
    let isSent = false;
    void Promise.resolve(this.daemon(name).begin(id, softwareVersion)).then(() => {
      isSent = true;
    });
    while (!isSent) await this.pass(DATAGRAM_MS);
    return { id, softwareVersion };
  }

  /** The versions at which a daemon goes on with streams, taken up at once; undefined for one that it rejects. */
  async versionsTakenUp(
    name: string,
    streams: readonly BegunStream[],
  ): Promise<readonly (string | undefined)[]> {
    const decisions = new Map<string, ResumptionDecision | undefined>();
    for (const { id } of streams) {
      void this.daemon(name)
        .takeUp(id)
        .then((decision) => decisions.set(id, decision));
    }
    while (decisions.size < streams.length) await this.pass(DATAGRAM_MS);
    return streams.map(({ id }) => {
      const decision = decisions.get(id);
      return decision?.kind === 'continue' ? decision.origin.softwareVersion : undefined;
    });
  }

  pass(spanMs: number): Promise<void> {
    return this.timers.advanceUntil(this.timers.nowMs() + spanMs);
  }

  /** Sends a message as datagrams. */
  send(from: StreamDaemon, peers: readonly PeerDaemon[], message: StreamMessage): void {
    if (from.isStopped) return;
    const bytes = encodePeerMessage(message);
    for (const { name } of peers) {
      this.timers.after(DATAGRAM_MS, () => {
        const to = this.daemons.get(name);
        if (to === undefined || to.isStopped || this.isCut(from.name, name)) return;
        const received = decodePeerMessage(bytes) as StreamMessage;
        const sender = this.#peer(from.name);
        const read = () =>
          to.streams.handleMessage(received, (answer) => this.send(to, [sender], answer));
        const unread = this.#unread.get(name);
        if (unread === undefined) read();
        else unread.push(read);
      });
    }
  }

  #run(name: string, zone: string, role: WatchRole): void {
    this.daemons.set(name, new StreamDaemon(name, zone, role, this, this.#table));
  }

  /** A relay tells the daemons of its zone, again and again, how far it has followed the list. */
  #sendDigest(name: string): void {
    const relay = this.daemon(name);
    const digest = { ...relay.follower.digestToSend(), peersChecksum: 1 };
    const isDue = relay.schedule.next(digest, this.timers.nowMs()) !== 'nobody';
    const inZone = [...this.daemons.values()].filter(({ zone }) => zone === relay.zone);
    this.timers.after(DATAGRAM_MS, () => {
      if (!isDue || relay.isStopped) return;
      for (const other of inZone) {
        if (other !== relay && !this.isCut(name, other.name)) other.digest.apply(digest, name);
      }
    });
    this.timers.after(RELAY_TICK_MS, () => this.#sendDigest(name));
  }

  #peer(name: string): PeerDaemon {
    return { name, host: '127.0.0.1', port: 1, zone: this.daemon(name).zone };
  }
}

function serverOf(id: string, softwareVersion: string): ServerRecord {
  const place = { address: '10.0.0.1:1', zone: 'a', slots: 8, state: 'ready' } as const;
  return {
    id,
    service: SERVICE,
    ...place,
    isSpot: false,
    stage: 'decode',
    bornMs: 1,
    softwareVersion,
  };
}
