/**
 * The daemons of one zone following the configuration in virtual time: the product's followers and digests with a
 * simulated store. Each daemon has its own link to the store, whose state a test sets.
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
  maxAnswerGapMs,
  maxDigestAgeMs,
  recheckSpans,
  type WatchRole,
  watchTiming,
} from '../../../src/shell/gateway/watch-timing.js';
import { type LinkState, StoreLink } from './store-link.js';
import { VirtualTimers } from './virtual-timers.js';

const DATAGRAM_MS = 2;
const RELAY_TICK_MS = 60;
/** Whether the configuration fits a datagram; larger ones are not forwarded. */
export type DocumentSize = 'small' | 'large';

/** What the restored copy lacks. */
export interface LostInCopy {
  readonly revisionsLost: number;
  readonly versionsLost: number;
}

/** The operator's table in the store. */
class ConfigurationTable {
  era = 0;
  revision = 1;
  version = 1;
  /** The revision of the row's last write; writes to other tables advance the store's counter beyond it. */
  rowRevision = 1;
  #lastVersion = 1;
  /** The feed has no changes before this revision. */
  historyFrom = 0;
  readonly #timers: VirtualTimers;
  readonly #changed = new Set<() => void>();

  constructor(timers: VirtualTimers) {
    this.#timers = timers;
  }

  change(): void {
    this.changeUnnoticed();
    this.#answer();
  }

  /** Makes a change without answering held calls. */
  changeUnnoticed(): void {
    this.#lastVersion += 1;
    this.#write(this.#lastVersion);
  }

  /** Restores the store from a copy with an older version under an older revision. */
  restore({ revisionsLost, versionsLost }: LostInCopy): void {
    this.era += 1;
    this.revision = Math.max(1, this.revision - revisionsLost);
    this.rowRevision = this.revision;
    this.version = Math.max(1, this.version - versionsLost);
  }

  /** Makes further answers come from another position, as a delayed answer of another history would. */
  answerFrom({ era, revision }: StorePosition): void {
    this.era = era;
    this.revision = revision;
    this.rowRevision = revision;
  }

  /** Advances the store's counter, as writes to other tables do. */
  advanceRevision(by: number): void {
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

  /** Resolves at the next change or after `maxWaitMs`. */
  changed(maxWaitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#changed.delete(finish);
        resolve();
      };
      const cancel = this.#timers.after(maxWaitMs, finish);
      this.#changed.add(finish);
    });
  }
}

/** The table of configurations, read over a link. */
class ConfigurationsOverLink implements WatchedTable<GatewayConfiguration> {
  readonly name = 'configurations';
  /** The older version that full reads return under the newest revision; undefined if reads are current. */
  staleVersion: number | undefined;
  /** The revision that stale reads name; undefined if they name the newest. */
  staleRevision: number | undefined;
  readonly #table: ConfigurationTable;
  readonly #link: StoreLink;

  constructor(table: ConfigurationTable, link: StoreLink) {
    this.#table = table;
    this.#link = link;
  }

  readAll(signal: AbortSignal): Promise<WatchAnswer<GatewayConfiguration>> {
    return this.#link.call(signal, async () => {
      if (this.staleVersion === undefined) return this.#rows(this.#table.version);
      return this.#rows(this.staleVersion, this.staleRevision);
    });
  }

  changesAfter(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchAnswer<GatewayConfiguration>> {
    return this.#link.call(signal, async () => {
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

/** An empty list of servers that never changes, read over a link. */
function emptyServersTable(
  store: ConfigurationTable,
  link: StoreLink,
  timers: VirtualTimers,
): WatchedTable<never> {
  const none = () => ({ kind: 'rows', rows: [], era: store.era, revision: 1 }) as const;
  return {
    name: 'servers',
    readAll: (signal) => link.call<never>(signal, async () => none()),
    changesAfter: (_after, waitMs, signal) =>
      link.call<never>(signal, async () => {
        await new Promise<void>((resolve) => timers.after(waitMs, resolve));
        return none();
      }),
    decode: (key) => ({ kind: 'gone', key }),
  };
}

/** A daemon of the zone. */
export class FollowingDaemon {
  readonly link: StoreLink;
  readonly table: ConfigurationsOverLink;
  readonly fleet: FleetView;
  readonly digest: RelayDigest;
  readonly follower: FleetFollower;
  /** When each version came into force at this daemon. */
  readonly inForceMs = new Map<number, number>();

  constructor(
    role: WatchRole,
    contactMs: number,
    table: ConfigurationTable,
    timers: VirtualTimers,
    random: () => number,
    forward: (changes: TableChanges<GatewayConfiguration>) => void,
  ) {
    this.fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, undefined, () =>
      timers.nowMs(),
    );
    this.link = new StoreLink(timers);
    this.table = new ConfigurationsOverLink(table, this.link);
    this.digest = new RelayDigest(timers, maxDigestAgeMs(contactMs));
    const adapter = {
      configurations: this.table,
      servers: emptyServersTable(table, this.link, timers),
    };
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
      forwardServers: () => undefined,
      forwardConfiguration: forward,
      recordDeparture: () => undefined,
      awaitConfirmation: () => undefined,
      declinesWork: () => Promise.resolve(false),
      advertiseDepartures: () => undefined,
      recordServerStart: () => undefined,
      digest: this.digest,
      timers,
      wallClock: () => timers.nowMs(),
      log: { write: () => undefined } as never,
      applyLimits: ({ idleTimeoutMs }) => this.inForceMs.set(idleTimeoutMs, timers.nowMs()),
      onConfigurationChanged: () => undefined,
      onServersChanged: () => undefined,
    });
  }
}

/** Parameters of a `FollowedZone`. */
export interface FollowedZoneOptions {
  readonly contactMs: number;
  /** The number of daemons in the zone. */
  readonly daemons: number;
  /** Whether the first daemon is the relay of the others. */
  readonly hasRelay: boolean;
  readonly random: () => number;
  readonly documentSize: DocumentSize;
  /** Whether the relay's digests report its configuration version; those of an older release do not. */
  readonly reportsVersion?: boolean;
  /** Whether the relay is of a release without eras, whose digests stay in the store's first era. */
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
        if (role === 'relay' && documentSize === 'small') this.#forwardConfiguration(changes);
      };
      return new FollowingDaemon(role, contactMs, this.#table, this.timers, random, forward);
    });
  }

  /** Starts the daemons one after another, `gapMs` apart; the last `away` daemons are not started. */
  async start(gapMs: number, away = 0): Promise<void> {
    for (const { follower } of this.daemons.slice(0, this.daemons.length - away)) {
      follower.start();
      await this.timers.advanceUntil(this.timers.nowMs() + gapMs);
    }
    if (this.#options.hasRelay) this.#sendDigest();
  }

  stop(): void {
    for (const { follower } of this.daemons) follower.stop();
  }

  /** The operator writes a version. */
  change(): number {
    this.#table.change();
    return this.#table.version;
  }

  /** The operator writes a version that is not delivered to held calls. */
  changeUnnoticed(): number {
    this.#table.changeUnnoticed();
    return this.#table.version;
  }

  /** The operator writes a version that is not delivered to held calls, and then the history is lost. */
  changeAndLoseHistory(): number {
    this.#table.changeUnnoticed();
    this.#table.forgetHistory();
    return this.#table.version;
  }

  /** Restores the store from a copy. */
  restore(lost: LostInCopy): void {
    this.#table.restore(lost);
  }

  /** Makes further answers come from another position. */
  answerFrom(position: StorePosition): void {
    this.#table.answerFrom(position);
  }

  /** Advances the store's counter, as writes to other tables do. */
  advanceRevision(by: number): void {
    this.#table.advanceRevision(by);
  }

  setLinks(daemons: readonly FollowingDaemon[], state: LinkState): void {
    for (const { link } of daemons) link.set(state);
  }

  /** The time after `sinceMs` at which the last of the daemons had a version in force; infinite if one has not. */
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
    return this.daemons.reduce((sum, { link }) => sum + link.calls, 0);
  }

  #sendDigest(): void {
    const [relay, ...followers] = this.daemons;
    if (relay === undefined) return;
    const seen = relay.follower.digestToSend();
    const configurationVersion =
      this.#options.reportsVersion === false ? 0 : seen.configurationVersion;
    this.#firstDigest ??= seen;
    const sent = this.#options.hasRelayWithoutEras === true ? this.#firstDigest : seen;
    const digest: TableDigest = { ...sent, configurationVersion, peersChecksum: 1 };
    if (this.#schedule.next(digest, this.timers.nowMs()) !== 'nobody') {
      this.timers.after(DATAGRAM_MS, () => {
        for (const { digest: relayDigest, follower } of followers) {
          follower.recordPeerVersion(digest.configurationVersion, 'relay');
          relayDigest.apply(digest);
        }
      });
    }
    this.timers.after(RELAY_TICK_MS, () => this.#sendDigest());
  }

  #forwardConfiguration({ era, after, revision, rows }: TableChanges<GatewayConfiguration>): void {
    const newest = rows.at(-1);
    if (newest?.kind !== 'value' || newest.encoded === undefined) return;
    const change = { era, after, revision, key: newest.key, encoded: newest.encoded };
    this.timers.after(DATAGRAM_MS, () => {
      for (const { follower } of this.daemons.slice(1))
        follower.applyForwardedConfiguration(change);
    });
  }
}

/** A configuration of a version; its idle time-out equals the version, so that applied limits identify it. */
function configurationOf(version: number): GatewayConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: version,
  };
  return { version, routes: [], services: new Map(), tenants: undefined, limits };
}
