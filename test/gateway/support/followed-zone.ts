/**
 * The daemons of one zone as they follow the configuration, in virtual time: the product's own followers and digests
 * before a store whose doors a test opens and shuts, one for each daemon.
 */
import {
  DigestSchedule,
  type GatewayConfiguration,
  RestoredServers,
  type TableDigest,
} from '../../../src/core/gateway/index.js';
import type { StorePosition } from '../../../src/core/platform/store-position.js';
import { FleetFollower } from '../../../src/shell/gateway/fleet-follower.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import type {
  PlatformAdapter,
  WatchAnswer,
  WatchedRow,
  WatchedTable,
} from '../../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../../src/shell/gateway/relay-digest.js';
import type { TableChanges } from '../../../src/shell/gateway/table-watcher.js';
import {
  maxDigestAgeMs,
  recheckSpans,
  type WatchRole,
  watchTiming,
} from '../../../src/shell/gateway/watch-timing.js';
import { VirtualTimers } from './virtual-timers.js';

const ANSWER_MS = 4;
const DATAGRAM_MS = 2;
const RELAY_TICK_MS = 60;
/** What is larger isn't passed on by datagrams. */
export type DocumentSize = 'small' | 'large';

/** What becomes of calls at a door. */
export type DoorState = 'open' | 'silent' | 'refuses' | 'resets';

/** What a copy lacks that the store comes back from. */
export interface LostInCopy {
  readonly revisionsLost: number;
  readonly versionsLost: number;
}

/** The operator's table as the store has it. */
class ConfigurationTable {
  era = 0;
  revision = 1;
  version = 1;
  /** Where the row was written last; other tables move the store's counter further. */
  rowRevision = 1;
  #lastVersion = 1;
  /** Changes before this revision are forgotten. */
  historyFrom = 0;
  readonly #timers: VirtualTimers;
  readonly #changed = new Set<() => void>();

  constructor(timers: VirtualTimers) {
    this.#timers = timers;
  }

  change(): void {
    this.changeUnheard();
    this.#answer();
  }

  /** A change that held calls are not told of before they are cut. */
  changeUnheard(): void {
    this.#lastVersion += 1;
    this.#write(this.#lastVersion);
  }

  /** The store comes back from a copy, in which an older version is under an older revision. */
  restore({ revisionsLost, versionsLost }: LostInCopy): void {
    this.era += 1;
    this.revision = Math.max(1, this.revision - revisionsLost);
    this.rowRevision = this.revision;
    this.version = Math.max(1, this.version - versionsLost);
  }

  /** Answers come from a place in another history, as late ones do. */
  goBackTo({ era, revision }: StorePosition): void {
    this.era = era;
    this.revision = revision;
    this.rowRevision = revision;
  }

  /** Other tables are written. */
  moveCounter(by: number): void {
    this.revision += by;
  }

  #write(version: number): void {
    this.revision += 3;
    this.rowRevision = this.revision;
    this.version = version;
  }

  forgetHistory(): void {
    this.historyFrom = this.revision;
    this.#answer();
  }

  #answer(): void {
    for (const answer of [...this.#changed]) answer();
  }

  /** Resolves with the next change, or after a time. */
  changed(mostMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#changed.delete(finish);
        resolve();
      };
      const cancel = this.#timers.after(mostMs, finish);
      this.#changed.add(finish);
    });
  }
}

/** Where one daemon reaches the store. */
class Door {
  calls = 0;
  #state: DoorState = 'open';
  /** How often calls under way were swallowed or cut. */
  #cuts = 0;
  readonly #onCut = new Set<() => void>();
  readonly #timers: VirtualTimers;

  constructor(timers: VirtualTimers) {
    this.#timers = timers;
  }

  /** Shuts the door, or opens it; what is under way goes on only where it was opened. */
  set(state: DoorState): void {
    this.#state = state;
    if (state === 'silent' || state === 'resets') this.#cuts += 1;
    for (const cut of [...this.#onCut]) cut();
  }

  async call<Value>(
    signal: AbortSignal,
    answer: () => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    this.calls += 1;
    const ended = new Promise<WatchAnswer<Value>>((resolve) => {
      const end = (reason: string) => resolve({ kind: 'failed', reason, wasRefused: false });
      if (signal.aborted) end('no answer');
      signal.addEventListener('abort', () => end('no answer'), { once: true });
      const cut = () => {
        if (this.#state === 'resets') end('reset');
      };
      this.#onCut.add(cut);
      signal.addEventListener('abort', () => this.#onCut.delete(cut), { once: true });
    });
    return Promise.race([ended, this.#passThrough(answer)]);
  }

  /** A call that meets silence on its way, or while it is held, is swallowed for good. */
  async #passThrough<Value>(
    answer: () => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    const swallowed = new Promise<never>(() => undefined);
    await this.#pass(ANSWER_MS / 2);
    if (this.#state === 'refuses') {
      return { kind: 'failed', reason: 'status 503', wasRefused: true };
    }
    if (this.#state === 'resets') return { kind: 'failed', reason: 'reset', wasRefused: false };
    if (this.#state === 'silent') return swallowed;
    const cuts = this.#cuts;
    const given = await answer();
    await this.#pass(ANSWER_MS / 2);
    return this.#cuts === cuts ? given : swallowed;
  }

  #pass(spanMs: number): Promise<void> {
    return new Promise((resolve) => this.#timers.after(spanMs, resolve));
  }
}

/** The configurations through a door. */
class ConfigurationsAtDoor implements WatchedTable<GatewayConfiguration> {
  readonly name = 'configurations';
  /** Whole reads answer an older version, under the newest revision; undefined where they answer as it is. */
  staleVersion: number | undefined;
  /** Stale reads name this revision; undefined where they name the newest. */
  staleRevision: number | undefined;
  readonly #table: ConfigurationTable;
  readonly #door: Door;

  constructor(table: ConfigurationTable, door: Door) {
    this.#table = table;
    this.#door = door;
  }

  readAll(signal: AbortSignal): Promise<WatchAnswer<GatewayConfiguration>> {
    return this.#door.call(signal, async () => {
      if (this.staleVersion === undefined) return this.#rows(this.#table.version);
      return this.#rows(this.staleVersion, this.staleRevision);
    });
  }

  changesAfter(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchAnswer<GatewayConfiguration>> {
    return this.#door.call(signal, async () => {
      const table = this.#table;
      if (table.rowRevision <= after && after <= table.revision) await table.changed(waitMs);
      const { era, revision } = table;
      const isKnown = table.historyFrom <= after && after <= revision;
      if (!isKnown) return { kind: 'history-lost', era };
      if (table.rowRevision > after) return this.#rows(table.version);
      return { kind: 'rows', rows: [], era, revision };
    });
  }

  decode(key: string, encoded: Buffer): WatchedRow<GatewayConfiguration> {
    return { kind: 'value', key, value: configurationOf(Number(encoded.toString())) };
  }

  #rows(version: number, revision = this.#table.revision): WatchAnswer<GatewayConfiguration> {
    const value = configurationOf(version);
    const encoded = Buffer.from(String(value.version));
    const rows = [{ kind: 'value', key: 'config', value, encoded }] as const;
    return { kind: 'rows', rows, era: this.#table.era, revision };
  }
}

/** A list of no servers, which never changes, through a door. */
function noServersAt(
  store: ConfigurationTable,
  door: Door,
  timers: VirtualTimers,
): WatchedTable<never> {
  const none = () => ({ kind: 'rows', rows: [], era: store.era, revision: 1 }) as const;
  return {
    name: 'servers',
    readAll: (signal) => door.call<never>(signal, async () => none()),
    changesAfter: (_after, waitMs, signal) =>
      door.call<never>(signal, async () => {
        await new Promise<void>((resolve) => timers.after(waitMs, resolve));
        return none();
      }),
    decode: (key) => ({ kind: 'gone', key }),
  };
}

/** A daemon of the zone. */
export class FollowingDaemon {
  readonly door: Door;
  readonly table: ConfigurationsAtDoor;
  readonly fleet = new FleetView({ ratio: 1, slack: 1 });
  readonly digest: RelayDigest;
  readonly follower: FleetFollower;
  /** When each version came into force. */
  readonly inForceMs = new Map<number, number>();

  constructor(
    role: WatchRole,
    contactMs: number,
    table: ConfigurationTable,
    timers: VirtualTimers,
    random: () => number,
    forward: (changes: TableChanges<GatewayConfiguration>) => void,
  ) {
    this.door = new Door(timers);
    this.table = new ConfigurationsAtDoor(table, this.door);
    this.digest = new RelayDigest(timers, maxDigestAgeMs(contactMs));
    const adapter = { configurations: this.table, servers: noServersAt(table, this.door, timers) };
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
      restored: new RestoredServers(contactMs),
      random,
      handleStoreRestored: () => undefined,
      forwardServers: () => undefined,
      forwardConfiguration: forward,
      recordServerStart: () => undefined,
      digest: this.digest,
      timers,
      wallClock: () => timers.nowMs(),
      log: { write: () => undefined } as never,
      applyLimits: ({ idleTimeoutMs }) => this.inForceMs.set(idleTimeoutMs, timers.nowMs()),
      onServersChanged: () => undefined,
    });
  }
}

/** What a zone varies in. */
export interface FollowedZoneOptions {
  readonly contactMs: number;
  /** Daemons of the zone. */
  readonly daemons: number;
  /** Whether the first of them follows the store for the others. */
  readonly hasRelay: boolean;
  readonly random: () => number;
  readonly documentSize: DocumentSize;
  /** Whether the relay's digests say which version it has, as those of an older release do not. */
  readonly tellsVersion?: boolean;
  /** Whether the relay is of a release that does not know of eras: it stays with the store's first history. */
  readonly hasRelayWithoutEras?: boolean;
}

/** The daemons of a zone and their store. */
export class FollowedZone {
  readonly timers = new VirtualTimers();
  readonly daemons: readonly FollowingDaemon[];
  readonly #table = new ConfigurationTable(this.timers);
  readonly #options: FollowedZoneOptions;
  readonly #schedule = new DigestSchedule();
  #firstDigest: Omit<TableDigest, 'peersChecksum'> | undefined;

  constructor(options: FollowedZoneOptions) {
    this.#options = options;
    const { contactMs, daemons, hasRelay, random, documentSize } = options;
    const followerRole = hasRelay ? 'follower' : 'alone';
    this.daemons = Array.from({ length: daemons }, (_, index) => {
      const role = hasRelay && index === 0 ? 'relay' : followerRole;
      const forward = (changes: TableChanges<GatewayConfiguration>) => {
        if (role === 'relay' && documentSize === 'small') this.#passOn(changes);
      };
      return new FollowingDaemon(role, contactMs, this.#table, this.timers, random, forward);
    });
  }

  /** Starts the daemons one after another, each some time after the last; a number of them stay away. */
  async start(gapMs: number, away = 0): Promise<void> {
    for (const { follower } of this.daemons.slice(0, this.daemons.length - away)) {
      follower.start();
      await this.timers.advanceUntil(this.timers.nowMs() + gapMs);
    }
    if (this.#options.hasRelay) this.#tell();
  }

  stop(): void {
    for (const { follower } of this.daemons) follower.stop();
  }

  /** The operator writes a version. */
  change(): number {
    this.#table.change();
    return this.#table.version;
  }

  /** The operator writes a version, and held calls do not hear of it. */
  changeUnheard(): number {
    this.#table.changeUnheard();
    return this.#table.version;
  }

  /** The operator writes a version, held calls do not hear of it, and then the history is lost. */
  changeInGap(): number {
    this.#table.changeUnheard();
    this.#table.forgetHistory();
    return this.#table.version;
  }

  /** The store comes back from a copy. */
  restore(lost: LostInCopy): void {
    this.#table.restore(lost);
  }

  /** Answers come from a place in another history. */
  goBackTo(position: StorePosition): void {
    this.#table.goBackTo(position);
  }

  /** Other tables of the store are written. */
  moveCounter(by: number): void {
    this.#table.moveCounter(by);
  }

  shut(daemons: readonly FollowingDaemon[], state: DoorState): void {
    for (const { door } of daemons) door.set(state);
  }

  /** How long after a time the last of some daemons had a version in force; infinite while one has not. */
  slowestMs(daemons: readonly FollowingDaemon[], version: number, sinceMs: number): number {
    return Math.max(
      ...daemons.map(
        ({ inForceMs }) => (inForceMs.get(version) ?? Number.POSITIVE_INFINITY) - sinceMs,
      ),
    );
  }

  /** The revision of the store's last change. */
  get newestRevision(): number {
    return this.#table.revision;
  }

  /** The version that the operator wrote last. */
  get newestVersion(): number {
    return this.#table.version;
  }

  get callsTotal(): number {
    return this.daemons.reduce((sum, { door }) => sum + door.calls, 0);
  }

  #tell(): void {
    const [relay, ...followers] = this.daemons;
    if (relay === undefined) return;
    const seen = relay.follower.digestToSend();
    const configurationVersion =
      this.#options.tellsVersion === false ? 0 : seen.configurationVersion;
    this.#firstDigest ??= seen;
    const told = this.#options.hasRelayWithoutEras === true ? this.#firstDigest : seen;
    const digest: TableDigest = { ...told, configurationVersion, peersChecksum: 1 };
    if (this.#schedule.next(digest, this.timers.nowMs()) !== 'nobody') {
      this.timers.after(DATAGRAM_MS, () => {
        for (const { digest: heard, follower } of followers) {
          follower.recordPeerVersion(digest.configurationVersion, 'relay');
          heard.apply(digest);
        }
      });
    }
    this.timers.after(RELAY_TICK_MS, () => this.#tell());
  }

  #passOn({ era, after, revision, rows }: TableChanges<GatewayConfiguration>): void {
    const newest = rows.at(-1);
    if (newest?.kind !== 'value' || newest.encoded === undefined) return;
    const change = { era, after, revision, key: newest.key, encoded: newest.encoded };
    this.timers.after(DATAGRAM_MS, () => {
      for (const { follower } of this.daemons.slice(1))
        follower.applyForwardedConfiguration(change);
    });
  }
}

/** A version; its idle time tells it apart where limits are applied. */
function configurationOf(version: number): GatewayConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: version,
  };
  return { version, routes: [], services: new Map(), tenants: undefined, limits };
}
