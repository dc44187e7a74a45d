/**
 * The daemons that this one knows, which of them are heard, and what each does for the others. A small
 * fleet needs no parts: everyone tells and asks everyone. In a large one, each zone has a daemon that
 * sums up the work of the zone, tells the relays of the others and hears theirs, tells its zone the whole,
 * and follows the store's tables for it (the relay); and each engine has a
 * daemon in each zone that asks it for its cache news (the watcher) and passes it on in its zone.
 *
 * Parts are given by rendezvous hashing over the daemons that are heard. Two daemons may differ on
 * that for a while; what they tell is then told twice or not at all, which costs choices their
 * quality and breaks no promise.
 */
import { EMPTY_HASH, hashText } from '../common/hash.js';
import { rankByRendezvous } from './rendezvous.js';

/** Up to so many daemons in all, each tells all others. */
export const MAX_DIRECT_DAEMONS = 12;
const LEAST_HEARTBEAT_MS = 1_000;
/** Heartbeats go to all others, so they come the more seldom the more daemons there are. */
const HEARTBEAT_MS_FOR_PEER = 30;
const SILENT_HEARTBEATS = 3;
/** A daemon that missed so many is not coming back under its name and address. */
const LOST_HEARTBEATS = 10;
/** A relay tells its zone at least this often. */
export const RELAY_REFRESH_MS = 1_000;
const RELAY_SILENT_MS = 1_600;
/** What the relay of another zone said of itself holds for so long. */
const OTHER_RELAY_VALID_MS = 5_000;
/** Who is live is worked out again after this time; it changes by heartbeats, which are rarer. */
const LIVE_NAMES_VALID_MS = 250;
/** Ranks kept; the engines that there were before make room for those that there are. */
const MOST_RANKS = 1_024;

/** Another daemon. */
export interface PeerDaemon {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
}

/** This daemon's own place. */
export interface OwnDaemon {
  readonly name: string;
  readonly zone: string;
}

interface KnownPeer {
  readonly daemon: PeerDaemon;
  heardMs: number;
}

/** The live daemons of the own zone, this one counted, and how they rank for the keys asked about. */
interface LiveZone {
  readonly names: readonly string[];
  readonly checkedMs: number;
  readonly rankOf: Map<string, readonly string[]>;
}

interface HeardRelay {
  readonly name: string;
  readonly heardMs: number;
}

/** The known daemons and their parts. */
export class PeerRoster {
  readonly #self: OwnDaemon;
  readonly #known = new Map<string, KnownPeer>();
  #hasList = false;
  #checksum = 0;
  /** Undefined until a relay is waited for. */
  #relayHeardMs: number | undefined;
  /** The relays of other zones, as they said themselves. */
  readonly #otherRelays = new Map<string, HeardRelay>();
  /** Relays of the own zone that fell silent and were not heard since. */
  readonly #silentRelays = new Set<string>();
  #liveZone: LiveZone | undefined;

  constructor(self: OwnDaemon) {
    this.#self = self;
  }

  /** Whether the list of daemons was ever read. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** All daemons listed, this one counted. */
  get daemonCount(): number {
    return this.#known.size + 1;
  }

  /** Whether the fleet is too large for everyone to tell everyone. */
  get isLarge(): boolean {
    return this.daemonCount > MAX_DIRECT_DAEMONS;
  }

  get heartbeatMs(): number {
    return Math.max(LEAST_HEARTBEAT_MS, this.#known.size * HEARTBEAT_MS_FOR_PEER);
  }

  /**
   * Whether this daemon knows what all daemons are asked for: in a large fleet only the relays do, and without a list
   * each would take its own part for the whole.
   */
  knowsFleetDemand(isRelay: boolean): boolean {
    return this.#hasList && (!this.isLarge || isRelay);
  }

  /** Takes the whole list; a daemon that is new to it counts as just heard. */
  replace(peers: readonly PeerDaemon[], nowMs: number): void {
    this.#hasList = true;
    this.#checksum = checksumOf(peers);
    this.#liveZone = undefined;
    const listed = new Set<string>();
    for (const daemon of peers) {
      if (daemon.name === this.#self.name) continue;
      listed.add(daemon.name);
      const heardMs = this.#known.get(daemon.name)?.heardMs ?? nowMs;
      this.#known.set(daemon.name, { daemon, heardMs });
    }
    for (const name of [...this.#known.keys()]) if (!listed.has(name)) this.#known.delete(name);
  }

  /** A checksum of the list; daemons that have the same list have the same. 0 before the first. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Daemons of the own zone that were silent for so long that they are taken to be gone for good. */
  lostPeers(nowMs: number): readonly PeerDaemon[] {
    if (!this.isLarge) return [];
    const lostMs = this.heartbeatMs * LOST_HEARTBEATS;
    const inZone = [...this.#known.values()].filter(
      ({ daemon }) => daemon.zone === this.#self.zone,
    );
    const lost = inZone.filter(({ heardMs }) => nowMs - heardMs > lostMs);
    // Whoever hears only few of the others is more likely to be cut off itself.
    return 2 * lost.length < inZone.length ? lost.map(({ daemon }) => daemon) : [];
  }

  /** Something came from a daemon. */
  recordContact(name: string, nowMs: number): void {
    const known = this.#known.get(name);
    if (known === undefined) return;
    // One that was silent is live from here on.
    if (nowMs - known.heardMs > LIVE_NAMES_VALID_MS && !this.#isLive(known, nowMs)) {
      this.#liveZone = undefined;
    }
    known.heardMs = nowMs;
  }

  /** The relay of a zone told something. */
  recordRelayContact(name: string, zone: string, nowMs: number): void {
    this.recordContact(name, nowMs);
    if (zone !== this.#self.zone) {
      this.#otherRelays.set(zone, { name, heardMs: nowMs });
      return;
    }
    this.#relayHeardMs = nowMs;
    this.#silentRelays.delete(name);
  }

  /**
   * The place of this daemon among all that are listed for a key, from 0; after all others while it has no list, as
   * all that have just started would have the first place.
   */
  positionFor(key: string): number {
    if (!this.#hasList) return Number.MAX_SAFE_INTEGER;
    const names = [...this.#known.keys(), this.#self.name];
    return rankByRendezvous(key, names).indexOf(this.#self.name);
  }

  /** All daemons to tell, heard or not: one that was silent may be back. */
  allPeers(): readonly PeerDaemon[] {
    return [...this.#known.values()].map(({ daemon }) => daemon);
  }

  /** Who is told of a change: everyone, or the relay of the own zone, which sums up for the others. */
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

  /** Whether this daemon sums up for its zone. */
  isRelay(nowMs: number): boolean {
    return this.isLarge && this.#relayOf(this.#self.zone, nowMs) === this.#self.name;
  }

  /** The other daemons of the own zone. */
  zonePeers(): readonly PeerDaemon[] {
    return this.allPeers().filter(({ zone }) => zone === this.#self.zone);
  }

  /**
   * Whether this daemon asks an engine for its news.
   * @param maxCacheEventPolls held calls that the engine takes from all daemons together
   */
  isWatcher(engineId: string, maxCacheEventPolls: number, nowMs: number): boolean {
    return this.#watchersOf(engineId, maxCacheEventPolls, nowMs).includes(this.#self.name);
  }

  /** Who is passed an engine's news by this daemon: none unless it is the first of the watchers. */
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
    this.#relayHeardMs ??= nowMs;
    if (nowMs - this.#relayHeardMs <= RELAY_SILENT_MS) return relay;
    // It is passed over well before its heartbeats are missed; the next gets as long to be heard.
    this.#silentRelays.add(relay);
    this.#relayHeardMs = nowMs;
    return ranked.find((name) => !this.#silentRelays.has(name));
  }

  /** Daemons of other zones are not heard one by one: their relay says that it is. */
  #relayOfOther(zone: string, nowMs: number): string | undefined {
    const recordContact = this.#otherRelays.get(zone);
    if (recordContact !== undefined && nowMs - recordContact.heardMs <= OTHER_RELAY_VALID_MS)
      return recordContact.name;
    const listed = this.allPeers().filter((daemon) => daemon.zone === zone);
    return rankByRendezvous(
      `relay of ${zone}`,
      listed.map(({ name }) => name),
    )[0];
  }

  /** The live daemons of the own zone by their rank for a key. */
  #rankInZone(key: string, nowMs: number): readonly string[] {
    const { names, rankOf } = this.#currentLiveZone(nowMs);
    const known = rankOf.get(key);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(key, names);
    if (rankOf.size >= MOST_RANKS) rankOf.clear();
    rankOf.set(key, ranked);
    return ranked;
  }

  #currentLiveZone(nowMs: number): LiveZone {
    const known = this.#liveZone;
    const isCurrent = known !== undefined && nowMs - known.checkedMs < LIVE_NAMES_VALID_MS;
    if (isCurrent) return known;
    const names = this.#liveNames(nowMs);
    const isSame = known !== undefined && names.join() === known.names.join();
    const rankOf = isSame ? known.rankOf : new Map<string, readonly string[]>();
    this.#liveZone = { names, checkedMs: nowMs, rankOf };
    return this.#liveZone;
  }

  #liveNames(nowMs: number): readonly string[] {
    const live = [...this.#known.values()].filter(
      (known) => known.daemon.zone === this.#self.zone && this.#isLive(known, nowMs),
    );
    return [...live.map(({ daemon }) => daemon.name), this.#self.name];
  }

  #isLive({ heardMs }: KnownPeer, nowMs: number): boolean {
    return nowMs - heardMs <= this.heartbeatMs * SILENT_HEARTBEATS;
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
