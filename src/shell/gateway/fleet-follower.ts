/**
 * Keeps the fleet view up to date from the store's tables: the configuration in force and the listed
 * servers. Rows that cannot be read are said and passed over.
 */
import type {
  CallerLimits,
  DirectoryChange,
  GatewayConfiguration,
  RestoredServer,
  RestoredServers,
  ServerRecord,
  TableDigest,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { FIRST_ERA } from '../../core/platform/store-position.js';
import type { CacheEventWatchers } from './cache-event-watchers.js';
import type { FleetView } from './fleet-view.js';
import { NewestPeerVersion } from './newest-peer-version.js';
import type { ForwardedConfiguration } from './peer-messages.js';
import type { PlatformAdapter, WatchedRow } from './ports.js';
import type { RelayDigest } from './relay-digest.js';
import type { GatewayLog } from './request-log.js';
import { type TableChanges, TableWatcher } from './table-watcher.js';
import type { CancelTimer, TimerService, WallClock } from './timer-service.js';
import { UnreadableRows } from './unreadable-rows.js';
import { WatchRetryQueue } from './watch-retry-queue.js';
import type { RecheckSpans, WatchTiming } from './watch-timing.js';

/**
 * Many servers change together, when a fleet starts or is replaced. Each daemon asks once for those
 * of this time; it is a small part of the time for which a leaving server still serves.
 */
const GATHER_SERVERS_MS = 400;

/** Versions that come in quick succession: much less than the time until one has to be in force. */
const GATHER_CONFIGURATIONS_MS = 200;

/** Many daemons read the list again at the same time after the store's return; they are spread over this time. */
const REREAD_SPREAD_MS = 300;

/** A start later than this is not believed; clocks of one fleet differ by less. */
const MOST_AHEAD_MS = 60_000;

/** A watch, whatever its table holds. */
type Watch = Pick<
  TableWatcher<never>,
  'run' | 'stop' | 'handleEra' | 'callsTotal' | 'lastAnswerMs' | 'progress' | 'needsFullRead'
>;

type ServerEvent = (typeof GATEWAY_EVENTS)[
  | 'serverAdded'
  | 'serverChanged'
  | 'serverRemoved'
  | 'serverRenewed'];

/** What a follower is built from. */
export interface FleetFollowerOptions {
  readonly adapter: PlatformAdapter;
  readonly fleet: FleetView;
  readonly cacheEventWatchers: CacheEventWatchers;
  /** The times of the watches, by what this daemon does for the others. */
  readonly timing: () => WatchTiming;
  /** For how long tables are read whole again, as reads may be stale. */
  readonly recheckSpans: RecheckSpans;
  /** What the list of servers means after the store came back from an older copy. */
  readonly restored: RestoredServers;
  /** From 0 to below 1, to spread what many daemons do. */
  readonly random: () => number;
  /** Changes of servers that came from the store itself. */
  readonly forwardServers: (changes: TableChanges<ServerRecord>) => void;
  /** Changes of the configuration that came from the store itself. */
  readonly forwardConfiguration: (changes: TableChanges<GatewayConfiguration>) => void;
  /** The digest of the zone's relay on the tables. */
  readonly digest: RelayDigest;
  /** The store is back from an older copy. */
  readonly handleStoreRestored: () => void;
  /** A server is listed, or has started again. */
  readonly recordServerStart: (server: ServerRecord) => void;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: GatewayLog;
  readonly applyLimits: (limits: CallerLimits) => void;
  /** To be called when the list of servers has changed. */
  readonly onServersChanged: () => void;
}

/** The watches of configuration and servers. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #watches: readonly Watch[];
  readonly #configurations: TableWatcher<GatewayConfiguration>;
  readonly #servers: TableWatcher<ServerRecord>;
  readonly #heard: NewestPeerVersion;
  readonly #unreadable = new UnreadableRows();
  /** The last era that the store came back in. */
  #era = FIRST_ERA;
  #isConfigurationUnreadable = false;
  /** Rereads of the list that are due after the store's return. */
  #cancelRereads: readonly CancelTimer[] = [];
  /** Servers that were taken otherwise than the older copy has them, each told once. */
  readonly #loggedRestored = new Set<string>();
  /** Whether the last rows of servers held one that was not taken. */
  #hasPassedOver = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    const { adapter, timing, recheckSpans, random, timers, log, digest } = options;
    const retryQueue = new WatchRetryQueue(timers);
    const handleEra = (era: number) => this.#noteEra(era);
    const shared = { timing, recheckSpans, random, retryQueue, timers, log, handleEra };
    const configurations = new TableWatcher({
      table: adapter.configurations,
      consumer: {
        applyAll: (rows) => this.#takeAllConfigurations(rows),
        applyChanges: (rows) => this.#takeConfigurations(rows),
        forward: (changes) => options.forwardConfiguration(changes),
      },
      ...shared,
      batchMs: GATHER_CONFIGURATIONS_MS,
      digest: {
        table: 'configurations',
        from: digest,
        isUpToDateWithRelay: () => this.#hasRelaysVersion,
      },
    });
    const servers = new TableWatcher({
      table: adapter.servers,
      consumer: {
        applyAll: (rows) => this.#takeServers(rows, true),
        applyChanges: (rows) => this.#takeServers(rows, false),
        // Rows that mean something only beside what is known here are looked up by each daemon itself.
        forward: (changes) => {
          if (!this.#hasPassedOver) options.forwardServers(changes);
        },
      },
      ...shared,
      batchMs: GATHER_SERVERS_MS,
      digest: { table: 'servers', from: digest },
    });
    this.#configurations = configurations;
    this.#servers = servers;
    this.#watches = [configurations, servers];
    this.#heard = new NewestPeerVersion({
      inForce: () => this.inForceVersion,
      look: () => configurations.requestFullRead(),
      graceMs: timing().callTimeoutMs,
      timers,
      log,
    });
  }

  /** Calls to the store since the start. */
  get callsTotal(): number {
    return this.#watches.reduce((sum, watch) => sum + watch.callsTotal, 0);
  }

  /** Whether the configuration that the store was last seen to hold cannot be read, so that an older one stays. */
  get isConfigurationUnreadable(): boolean {
    return this.#isConfigurationUnreadable;
  }

  /** The newest era that the store was heard in. */
  get storeEra(): number {
    return Math.max(...this.#watches.map(({ progress }) => progress.era));
  }

  /** Tables that are to be read whole before their changes are followed. */
  get unreadTables(): number {
    return this.#watches.filter(({ needsFullRead }) => needsFullRead).length;
  }

  /** Rows of servers that cannot be read now. */
  get unreadableServers(): number {
    return this.#unreadable.count;
  }

  start(): void {
    for (const watch of this.#watches) void watch.run();
  }

  stop(): void {
    for (const watch of this.#watches) watch.stop();
    for (const cancel of this.#cancelRereads) cancel();
    this.#heard.stop();
  }

  /** The version of the configuration in force; 0 for none. */
  get inForceVersion(): number {
    return this.#options.fleet.inForce?.configuration.version ?? 0;
  }

  get #hasRelaysVersion(): boolean {
    const { configurationVersion } = this.#options.digest;
    return configurationVersion > 0 && this.inForceVersion >= configurationVersion;
  }

  /** The newest version that any daemon is known to have in force. */
  get highestVersion(): number {
    return this.#heard.highest;
  }

  /** Another daemon says which version it has in force. */
  recordPeerVersion(version: number, from: string): void {
    this.#heard.note(version, from);
  }

  /** How old the older of the tables' last answers is. */
  silentMs(): number {
    const nowMs = this.#options.timers.nowMs();
    return Math.max(...this.#watches.map((watch) => nowMs - watch.lastAnswerMs));
  }

  /** How old the last look for a newer configuration is, this daemon's own or its relay's. */
  configurationCheckAgeMs(): number {
    const { timers, digest } = this.#options;
    return timers.nowMs() - Math.max(this.#configurations.lastAnswerMs, digest.relayContactAtMs);
  }

  /** One table was heard in the store's new era: none of the others is to wait for its own answer. */
  #noteEra(era: number): void {
    for (const watch of this.#watches) watch.handleEra(era);
    if (era <= this.#era) return;
    this.#era = era;
    const { restored, timers, random } = this.#options;
    restored.begin(timers.nowMs());
    this.#options.handleStoreRestored();
    this.#loggedRestored.clear();
    for (const cancel of this.#cancelRereads) cancel();
    this.#cancelRereads = restored.rereadDelaysMs.map((afterMs) =>
      timers.after(afterMs + REREAD_SPREAD_MS * random(), () => this.#servers.requestFullRead()),
    );
  }

  /** Changes of servers that a relay had from the store. */
  applyServerChanges({ rows, ...span }: TableChanges<ServerRecord>): void {
    this.#servers.offer({ ...span, rows: rows.map((row) => this.#withStart(row)) });
  }

  /** The start is optional in messages: where it is left out and the address is the same, the known one stays. */
  #withStart(row: WatchedRow<ServerRecord>): WatchedRow<ServerRecord> {
    if (row.kind !== 'value' || row.value.bornMs !== undefined) return row;
    const { address, bornMs } = this.#options.fleet.directory.get(row.key) ?? {};
    return address === row.value.address ? { ...row, value: { ...row.value, bornMs } } : row;
  }

  /**
   * A configuration that another daemon had from the store. It is whole and says its own version, which only rises: a
   * newer one is taken whatever this daemon's own watch has seen, as that may be out of reach of the store.
   * @returns whether it was newer
   */
  applyForwardedConfiguration({ key, encoded, ...span }: ForwardedConfiguration): boolean {
    const before = this.inForceVersion;
    const row = this.#options.adapter.configurations.decode(key, encoded);
    if (row.kind !== 'value' || row.value.version <= before) return false;
    this.#configurations.offer({ ...span, rows: [row] });
    this.#takeConfigurations([row]);
    return true;
  }

  /** What a relay tells its zone of the tables. */
  digestToSend(): Omit<TableDigest, 'peersChecksum'> {
    return {
      configurationVersion: this.inForceVersion,
      configurations: this.#configurations.progress,
      servers: this.#servers.progress,
      ageMs: Math.round(this.silentMs()),
    };
  }

  /** A newer one spares others a whole read; how their watches go on is theirs to find. */
  #takeAllConfigurations(rows: readonly WatchedRow<GatewayConfiguration>[]): boolean {
    const isNewer = this.#takeConfigurations(rows);
    if (isNewer)
      this.#options.forwardConfiguration({ era: FIRST_ERA, after: 0, revision: 0, rows });
    return isNewer;
  }

  /** @returns whether there was a newer one among them */
  #takeConfigurations(rows: readonly WatchedRow<GatewayConfiguration>[]): boolean {
    const before = this.#options.fleet.inForce?.configuration.version;
    for (const row of rows) {
      switch (row.kind) {
        case 'value':
          this.#isConfigurationUnreadable = false;
          this.#takeConfiguration(row.value);
          break;
        case 'malformed':
          this.#isConfigurationUnreadable = true;
          this.#options.log.write(GATEWAY_EVENTS.configurationMalformed, { problem: row.problem });
          break;
        case 'gone':
          break;
      }
    }
    return this.#options.fleet.inForce?.configuration.version !== before;
  }

  #takeConfiguration(configuration: GatewayConfiguration): void {
    const { log, timers, fleet, applyLimits } = this.#options;
    const before = fleet.inForce?.configuration.version ?? 0;
    const outcome = fleet.applyConfiguration(configuration, timers.nowMs());
    const fields = { configurationVersion: configuration.version, before };
    switch (outcome) {
      case 'same':
        return;
      case 'older':
        log.write(GATEWAY_EVENTS.configurationOlder, fields);
        return;
      case 'taken':
        applyLimits(configuration.limits);
        this.#heard.recordInForce(configuration.version);
        log.write(GATEWAY_EVENTS.configurationInForce, {
          ...fields,
          routes: configuration.routes.length,
          tenants: configuration.tenants?.length ?? 0,
        });
        this.#noteSharedKeys(configuration.version);
        return;
    }
  }

  #noteSharedKeys(configurationVersion: number): void {
    const { log, fleet } = this.#options;
    const sharedKeys = fleet.inForce?.tenants.sharedKeys ?? 0;
    if (sharedKeys > 0) log.write(GATEWAY_EVENTS.keysShared, { configurationVersion, sharedKeys });
  }

  /** @returns whether the list is another one now */
  #takeServers(rows: readonly WatchedRow<ServerRecord>[], isWhole: boolean): boolean {
    const { fleet, wallClock, timers, restored } = this.#options;
    const records: ServerRecord[] = [];
    const goneIds: string[] = [];
    const listedIds = isWhole ? new Set(rows.map(({ key }) => key)) : undefined;
    if (listedIds !== undefined) this.#unreadable.retain(listedIds);
    for (const row of rows) {
      if (row.kind === 'malformed') this.#noteUnreadable(row.key, row.problem);
      else this.#unreadable.remove(row.key);
      // A row that cannot be read names no server, whatever it held before.
      if (row.kind === 'value') records.push(row.value);
      else goneIds.push(row.key);
    }
    const { directory } = fleet;
    const nowMs = timers.nowMs();
    const read = restored.correct({ records, listedIds }, directory, nowMs);
    this.#logRestored(read.corrected);
    const latestStartMs = wallClock() + MOST_AHEAD_MS;
    const change = isWhole
      ? directory.replaceAll(read.records, latestStartMs)
      : directory.apply(read.records, goneIds, latestStartMs);
    restored.note(change, nowMs);
    this.#hasPassedOver = change.skipped.length > 0;
    this.#carryOut(change);
    const { added, changed, removed, restarted } = change;
    const isChanged = added.length + changed.length + removed.length + restarted.length > 0;
    if (isChanged) this.#options.onServersChanged();
    return isChanged;
  }

  #carryOut(change: DirectoryChange): void {
    const { fleet, cacheEventWatchers, recordServerStart, log } = this.#options;
    const { added, changed, removed, restarted } = change;
    fleet.forgetEndedBoots(change);
    for (const server of removed) cacheEventWatchers.remove(server.id);
    for (const server of added) cacheEventWatchers.add(server);
    for (const server of restarted) cacheEventWatchers.restart(server);
    for (const server of [...added, ...restarted]) recordServerStart(server);
    for (const server of added) this.#logServer(GATEWAY_EVENTS.serverAdded, server);
    for (const server of changed) this.#logServer(GATEWAY_EVENTS.serverChanged, server);
    for (const server of removed) this.#logServer(GATEWAY_EVENTS.serverRemoved, server);
    for (const server of restarted) this.#logServer(GATEWAY_EVENTS.serverRenewed, server);
    for (const { record, reason } of change.skipped) {
      const listedBornMs = fleet.directory.get(record.id)?.bornMs ?? '';
      const fields = { server: record.id, reason, bornMs: record.bornMs ?? '', listedBornMs };
      log.write(GATEWAY_EVENTS.serverRowPassedOver, fields);
    }
  }

  /** One line for each server: the list is read several times after the store's return. */
  #logRestored(corrected: readonly RestoredServer[]): void {
    for (const { server, reason } of corrected) {
      const told = `${server.id} ${reason}`;
      if (this.#loggedRestored.has(told)) continue;
      this.#loggedRestored.add(told);
      const { id, service, state } = server;
      const fields = { server: id, service, state, reason, era: this.#era };
      this.#options.log.write(GATEWAY_EVENTS.serverRowRestored, fields);
    }
  }

  /** One line for each new problem: a row is read again with each whole reading. */
  #noteUnreadable(server: string, problem: string): void {
    if (!this.#unreadable.add(server, problem)) return;
    const unreadable = this.#unreadable.count;
    this.#options.log.write(GATEWAY_EVENTS.serverMalformed, { server, problem, unreadable });
  }

  #logServer(event: ServerEvent, server: ServerRecord): void {
    this.#options.log.write(event, {
      server: server.id,
      service: server.service,
      address: server.address,
      zone: server.zone,
      state: server.state,
      stage: server.stage ?? '',
      bornMs: server.bornMs ?? '',
    });
  }
}
