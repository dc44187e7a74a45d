/**
 * The daemons that this one knows, which of them are live, and the role of each. A small fleet has no roles: every
 * daemon sends to and polls all others itself. In a large fleet each zone has one relay, a daemon that sums up the load
 * reports of its zone, exchanges these sums with the relays of the other zones, sends the total to its zone and follows
 * the store's tables for it. Each engine has one watcher in each zone, a daemon that reads the engine's cache events
 * and forwards them to the zone.
 *
 * Roles are assigned by rendezvous hashing over the live daemons. Two daemons may disagree for a while; messages are
 * then sent twice or not at all, which makes routing choices worse but breaks no guarantee.
 */
import { setNewest } from '../common/bounded-map.js';
import { EMPTY_HASH, hashText } from '../common/hash.js';
import { rankByRendezvous } from './rendezvous.js';
import { UnlistedPeers } from './unlisted-peers.js';

/** The largest fleet, in daemons, in which each daemon sends its load to all others directly. */
export const MAX_DIRECT_DAEMONS = 12;
const MIN_HEARTBEAT_MS = 1_000;
/** Heartbeat interval for each other daemon: heartbeats go to all others, so more daemons send them less often. */
const HEARTBEAT_MS_PER_PEER = 30;
/** A daemon that missed more heartbeats than this is not live. */
const SILENT_HEARTBEATS = 3;
/** A daemon that missed more heartbeats than this is assumed not to return under its name and address. */
const LOST_HEARTBEATS = 10;
/** A relay sends its sums to its zone at least this often. */
export const RELAY_REFRESH_MS = 1_000;
const RELAY_SILENT_MS = 1_600;
/** The sender of another zone's relay messages counts as that zone's relay for this long after the last one. */
const OTHER_RELAY_VALID_MS = 5_000;
/** Several times the zones of the largest fleet; anything that sends a datagram can name a zone. */
const MAX_ZONES = 256;
/** The set of live daemons is recomputed after this time; it changes with heartbeats, which are less frequent. */
const LIVE_NAMES_VALID_MS = 250;
/** Cached rankings; the cache is cleared when full, so that rankings of removed engines do not fill it. */
const MAX_CACHED_RANKINGS = 1_024;

/** Another daemon. */
export interface PeerDaemon {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** The TCP port for requests that other daemons forward; undefined for a daemon that takes none. */
  readonly forwardPort?: number | undefined;
  readonly zone: string;
}

/** The name and zone of this daemon. */
export interface OwnDaemon {
  readonly name: string;
  readonly zone: string;
}

interface KnownPeer {
  readonly daemon: PeerDaemon;
  lastContactMs: number;
}

/** The live daemons of the own zone, including this one, and their cached rankings by key. */
interface LiveZone {
  readonly names: readonly string[];
  readonly checkedMs: number;
  readonly rankings: Map<string, readonly string[]>;
}

interface RelayContact {
  readonly name: string;
  readonly lastContactMs: number;
}

/** The known daemons and their roles. */
export class PeerRoster {
  readonly #self: OwnDaemon;
  readonly #known = new Map<string, KnownPeer>();
  readonly #unlisted = new UnlistedPeers<PeerDaemon>();
  #hasList = false;
  #checksum = 0;
  /** When the own zone's relay last sent a message or took over; undefined until a relay is expected. */
  #relayLastContactMs: number | undefined;
  /** The senders of the last relay message of each other zone. */
  readonly #otherRelays = new Map<string, RelayContact>();
  /** Relays of the own zone that timed out and have not sent relay messages since. */
  readonly #silentRelays = new Set<string>();
  #liveZone: LiveZone | undefined;

  constructor(self: OwnDaemon) {
    this.#self = self;
  }

  /** Whether the list of daemons was ever read. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** All listed daemons, including this one. */
  get daemonCount(): number {
    return this.#known.size + 1;
  }

  /** Whether the fleet is too large for each daemon to send its load to all others directly. */
  get isLarge(): boolean {
    return this.daemonCount > MAX_DIRECT_DAEMONS;
  }

  get heartbeatMs(): number {
    return Math.max(MIN_HEARTBEAT_MS, this.#known.size * HEARTBEAT_MS_PER_PEER);
  }

  /**
   * Whether this daemon knows the demand at all daemons. In a large fleet only the relays do; a daemon without a list
   * would take its own demand for that of the fleet.
   */
  knowsFleetDemand(isRelay: boolean): boolean {
    return this.#hasList && (!this.isLarge || isRelay);
  }

  /** Replaces the list; a daemon that is new in it counts as just in contact. */
  replace(peers: readonly PeerDaemon[], nowMs: number): void {
    this.#hasList = true;
    this.#checksum = checksumOf(peers);
    this.#liveZone = undefined;
    const listed = new Set<string>();
    for (const daemon of peers) {
      if (daemon.name === this.#self.name) continue;
      listed.add(daemon.name);
      const lastContactMs = this.#known.get(daemon.name)?.lastContactMs ?? nowMs;
      this.#known.set(daemon.name, { daemon, lastContactMs });
      this.#unlisted.remove(daemon.name);
    }
    for (const [name, { daemon }] of [...this.#known]) {
      if (listed.has(name)) continue;
      this.#known.delete(name);
      this.#unlisted.add(daemon, nowMs);
    }
  }

  /** A checksum of the list, equal at daemons that have the same list; 0 before the first list. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Daemons of the own zone that have been silent for `LOST_HEARTBEATS` heartbeats, so they count as removed. */
  lostPeers(nowMs: number): readonly PeerDaemon[] {
    if (!this.isLarge) return [];
    const lostMs = this.heartbeatMs * LOST_HEARTBEATS;
    const inZone = [...this.#known.values()].filter(
      ({ daemon }) => daemon.zone === this.#self.zone,
    );
    const lost = inZone.filter(({ lastContactMs }) => nowMs - lastContactMs > lostMs);
    // A daemon that receives nothing from half of its zone or more is more likely to be cut off itself.
    return 2 * lost.length < inZone.length ? lost.map(({ daemon }) => daemon) : [];
  }

  /** Records that a message came from a daemon. */
  recordContact(name: string, nowMs: number): void {
    const known = this.#known.get(name);
    if (known === undefined) return;
    // A daemon that was silent becomes live, so the cached set is outdated.
    if (nowMs - known.lastContactMs > LIVE_NAMES_VALID_MS && !this.#isLive(known, nowMs)) {
      this.#liveZone = undefined;
    }
    known.lastContactMs = nowMs;
  }

  /** Records that a relay message came from a daemon of a zone. */
  recordRelayContact(name: string, zone: string, nowMs: number): void {
    this.recordContact(name, nowMs);
    if (zone !== this.#self.zone) {
      setNewest(this.#otherRelays, zone, { name, lastContactMs: nowMs }, MAX_ZONES);
      return;
    }
    this.#relayLastContactMs = nowMs;
    this.#silentRelays.delete(name);
  }

  /**
   * The position of this daemon, from 0, among all listed daemons in the rendezvous order of a key. A daemon without a
   * list comes after all others; otherwise all daemons that have just started would be first.
   */
  positionFor(key: string): number {
    if (!this.#hasList) return Number.MAX_SAFE_INTEGER;
    const names = [...this.#known.keys(), this.#self.name];
    return rankByRendezvous(key, names).indexOf(this.#self.name);
  }

  /** All other listed daemons, live or not: a silent daemon may be back. */
  allPeers(): readonly PeerDaemon[] {
    return [...this.#known.values()].map(({ daemon }) => daemon);
  }

  /** All other daemons that are listed or were until lately. */
  recentPeers(nowMs: number): readonly PeerDaemon[] {
    return [...this.allPeers(), ...this.#unlisted.recent(nowMs)];
  }

  /** Who receives this daemon's load reports: all others, or in a large fleet the relay of the own zone. */
  changeRecipients(nowMs: number): readonly PeerDaemon[] {
    if (!this.isLarge) return this.allPeers();
    return this.#daemonsNamed([this.#relayOf(this.#self.zone, nowMs)]);
  }

  /** The relays of the other zones. */
  otherRelays(nowMs: number): readonly PeerDaemon[] {
    const zones = new Set(this.allPeers().map(({ zone }) => zone));
    zones.delete(this.#self.zone);
    return [...zones].flatMap((zone) => this.#daemonsNamed([this.#relayOf(zone, nowMs)]));
  }

  /** Whether this daemon is the relay of its zone. */
  isRelay(nowMs: number): boolean {
    return this.isLarge && this.#relayOf(this.#self.zone, nowMs) === this.#self.name;
  }

  /** The other daemons of the own zone. */
  zonePeers(): readonly PeerDaemon[] {
    return this.allPeers().filter(({ zone }) => zone === this.#self.zone);
  }

  /**
   * Whether this daemon reads an engine's cache events.
   * @param maxCacheEventPolls the long polls that the engine accepts from all daemons together
   */
  isWatcher(engineId: string, maxCacheEventPolls: number, nowMs: number): boolean {
    return this.#watchersOf(engineId, maxCacheEventPolls, nowMs).includes(this.#self.name);
  }

  /** Who receives an engine's cache events from this daemon: nobody unless it is the first of the watchers. */
  cacheEventRecipients(
    engineId: string,
    maxCacheEventPolls: number,
    nowMs: number,
  ): readonly PeerDaemon[] {
    const watchers = this.#watchersOf(engineId, maxCacheEventPolls, nowMs);
    if (watchers[0] !== this.#self.name) return [];
    return this.zonePeers().filter(({ name }) => !watchers.includes(name));
  }

  #watchersOf(engineId: string, maxCacheEventPolls: number, nowMs: number): readonly string[] {
    const ranked = this.#rankInZone(engineId, nowMs);
    return this.daemonCount <= maxCacheEventPolls ? ranked : ranked.slice(0, 1);
  }

  #relayOf(zone: string, nowMs: number): string | undefined {
    if (zone !== this.#self.zone) return this.#relayOfOther(zone, nowMs);
    const ranked = this.#rankInZone(`relay of ${zone}`, nowMs);
    const relay = ranked.find((name) => !this.#silentRelays.has(name));
    if (relay === undefined || relay === this.#self.name) return relay;
    this.#relayLastContactMs ??= nowMs;
    if (nowMs - this.#relayLastContactMs <= RELAY_SILENT_MS) return relay;
    // A silent relay is replaced well before it misses its heartbeats; its successor gets the same time to send.
    this.#silentRelays.add(relay);
    this.#relayLastContactMs = nowMs;
    return ranked.find((name) => !this.#silentRelays.has(name));
  }

  /** Daemons of other zones do not report to this one, so their relay is known by its messages. */
  #relayOfOther(zone: string, nowMs: number): string | undefined {
    const relayContact = this.#otherRelays.get(zone);
    if (relayContact !== undefined && nowMs - relayContact.lastContactMs <= OTHER_RELAY_VALID_MS)
      return relayContact.name;
    const listed = this.allPeers().filter((daemon) => daemon.zone === zone);
    return rankByRendezvous(
      `relay of ${zone}`,
      listed.map(({ name }) => name),
    )[0];
  }

  /** The live daemons of the own zone in the rendezvous order of a key. */
  #rankInZone(key: string, nowMs: number): readonly string[] {
    const { names, rankings } = this.#currentLiveZone(nowMs);
    const known = rankings.get(key);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(key, names);
    if (rankings.size >= MAX_CACHED_RANKINGS) rankings.clear();
    rankings.set(key, ranked);
    return ranked;
  }

  #currentLiveZone(nowMs: number): LiveZone {
    const known = this.#liveZone;
    const isCurrent = known !== undefined && nowMs - known.checkedMs < LIVE_NAMES_VALID_MS;
    if (isCurrent) return known;
    const names = this.#liveNames(nowMs);
    const isSame = known !== undefined && names.join() === known.names.join();
    const rankings = isSame ? known.rankings : new Map<string, readonly string[]>();
    this.#liveZone = { names, checkedMs: nowMs, rankings };
    return this.#liveZone;
  }

  #liveNames(nowMs: number): readonly string[] {
    const live = [...this.#known.values()].filter(
      (known) => known.daemon.zone === this.#self.zone && this.#isLive(known, nowMs),
    );
    return [...live.map(({ daemon }) => daemon.name), this.#self.name];
  }

  #isLive({ lastContactMs }: KnownPeer, nowMs: number): boolean {
    return nowMs - lastContactMs <= this.heartbeatMs * SILENT_HEARTBEATS;
  }

  #daemonsNamed(names: readonly (string | undefined)[]): readonly PeerDaemon[] {
    return names.flatMap((name) => {
      const known = name === undefined ? undefined : this.#known.get(name);
      return known === undefined ? [] : [known.daemon];
    });
  }
}

function checksumOf(peers: readonly PeerDaemon[]): number {
  const entries = peers.map(({ name, host, port, zone }) => `${name} ${host}:${port} ${zone}`);
  return hashText(EMPTY_HASH, entries.sort().join('\n')).low;
}
