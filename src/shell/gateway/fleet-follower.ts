/**
 * Keeps the fleet view up to date from the store's tables: the configuration in force and the listed servers. Malformed
 * rows are logged and skipped.
 */
import {
  type CallerLimits,
  type DepartureNotice,
  type DirectoryChange,
  ExpiredRows,
  type GatewayConfiguration,
  REWRITTEN_MS,
  type RestoredServer,
  type RestoredServers,
  type RowsOrigin,
  SERVERS_BATCH_MS,
  type ServerRecord,
  type TableDigest,
} from '../../core/gateway/index.js';
import { ENTRY_EVENTS } from '../../core/logging/catalogue/entries.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { FIRST_ERA, type StorePosition } from '../../core/platform/store-position.js';
import { UnreadableRows } from '../../core/platform/unreadable-rows.js';
import type { CacheEventWatchers } from './cache-event-watchers.js';
import { DepartureTracker, type DepartureTrackerOptions } from './departure-tracker.js';
import type { FleetView } from './fleet-view.js';
import { runInBackground, runLoopInBackground } from './internal-faults.js';
import { NewestPeerVersion } from './newest-peer-version.js';
import type { ForwardedConfiguration } from './peer-messages.js';
import type { PlatformAdapter, WatchedRow } from './ports.js';
import type { RelayDigest } from './relay-digest.js';
import type { GatewayLog } from './request-log.js';
import { type TableChanges, TableWatcher } from './table-watcher.js';
import { type CancelTimer, delay, type TimerService, type WallClock } from './timer-service.js';
import { usableRow } from './usable-row.js';
import { WatchRetryQueue } from './watch-retry-queue.js';
import { isOutage, type RecheckSpans, type WatchTiming } from './watch-timing.js';

/** Versions in quick succession are fetched in one call; far less than the time within which one must be in force. */
const CONFIGURATIONS_BATCH_MS = 200;
const MAX_CONFIGURATIONS_BATCH_MS = 600;

/** All daemons reread the list of servers at the same times after a restore of the store; this spreads their calls. */
const REREAD_SPREAD_MS = 300;

/** A start time further in the future than this is not trusted; the clocks of a fleet differ by less. */
const MAX_START_AHEAD_MS = 60_000;

/** A watch of any table. */
type Watch = Pick<
  TableWatcher<never>,
  | 'name'
  | 'run'
  | 'stop'
  | 'handleEra'
  | 'callsTotal'
  | 'lastAnswerMs'
  | 'progress'
  | 'needsFullRead'
>;

type ServerEvent = (typeof GATEWAY_EVENTS)[
  | 'serverAdded'
  | 'serverChanged'
  | 'serverRemoved'
  | 'serverRenewed'];

/** Dependencies and settings of a `FleetFollower`. */
export interface FleetFollowerOptions
  extends Pick<
    DepartureTrackerOptions,
    'recordDeparture' | 'advertiseDepartures' | 'awaitConfirmation'
  > {
  readonly adapter: PlatformAdapter;
  readonly fleet: FleetView;
  readonly cacheEventWatchers: CacheEventWatchers;
  /** The time-outs and delays of the watches, by this daemon's current role. */
  readonly timing: () => WatchTiming;
  /** How long full reads are repeated after a disturbance, since reads may be stale. */
  readonly recheckSpans: RecheckSpans;
  /** A longer time between two answers of the store counts as a gap. */
  readonly maxAnswerGapMs: number;
  /** Corrects the list of servers after the store was restored from an older copy. */
  readonly restored: RestoredServers;
  /** A random number from 0 to below 1, to spread the calls of many daemons. */
  readonly random: () => number;
  /** Forwards changes of servers that came from the store itself. */
  readonly forwardServers: (changes: TableChanges<ServerRecord>) => void;
  /** Forwards changes of the configuration that came from the store itself. */
  readonly forwardConfiguration: (changes: TableChanges<GatewayConfiguration>) => void;
  /** The digests of the zone's relay. */
  readonly digest: RelayDigest;
  /** Called when the store was restored from an older copy. */
  readonly handleStoreRestored: () => void;
  /** Asks a server whether it declines work. */
  readonly declinesWork: (server: ServerRecord) => Promise<boolean>;
  /** Called when a server is added or has restarted. */
  readonly recordServerStart: (server: ServerRecord) => void;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: GatewayLog;
  readonly applyLimits: (limits: CallerLimits) => void;
  /** Called when a configuration has come into force. */
  readonly onConfigurationChanged: () => void;
  /** Called when the list of servers has changed. */
  readonly onServersChanged: () => void;
}

/** The watches of configuration and servers. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #watches: readonly Watch[];
  readonly #configurations: TableWatcher<GatewayConfiguration>;
  readonly #servers: TableWatcher<ServerRecord>;
  readonly #newestPeerVersion: NewestPeerVersion;
  readonly #unreadable = new UnreadableRows();
  /** Whether there were more unreadable rows of servers than are named. */
  #hasUnnamed = false;
  /** The newest era of the store that was handled. */
  #era = FIRST_ERA;
  #isConfigurationUnreadable = false;
  /** Cancel the pending rereads of the list of servers after a restore of the store. */
  #cancelRereads: readonly CancelTimer[] = [];
  /** Servers whose rows were corrected after a restore, with the reason; each is logged once. */
  readonly #loggedRestored = new Set<string>();
  readonly #expired = new ExpiredRows();
  readonly #departures: DepartureTracker;
  #cancelExpiry: CancelTimer | undefined;
  /** Whether a row was skipped in the last server rows. */
  #hasSkipped = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#departures = new DepartureTracker({ ...options, departures: options.fleet.departures });
    const { adapter, timing, recheckSpans, maxAnswerGapMs, random, timers, log, digest } = options;
    const retryQueue = new WatchRetryQueue(timers);
    const handleEra = (era: number) => this.#handleEra(era);
    const shared = {
      timing,
      recheckSpans,
      maxAnswerGapMs,
      random,
      retryQueue,
      timers,
      log,
      handleEra,
    };
    const configurations = new TableWatcher({
      table: adapter.configurations,
      consumer: {
        applyAll: (rows) => this.#applyAllConfigurations(rows),
        applyChanges: (rows) => this.#applyConfigurations(rows),
        forward: (changes) => options.forwardConfiguration(changes),
      },
      ...shared,
      batchMs: CONFIGURATIONS_BATCH_MS,
      maxBatchMs: MAX_CONFIGURATIONS_BATCH_MS,
      digest: {
        table: 'configurations',
        from: digest,
        isUpToDateWithRelay: () => this.#hasRelaysVersion,
      },
    });
    const servers = new TableWatcher({
      table: adapter.servers,
      consumer: {
        applyAll: (rows, origin) => this.#applyServers(rows, true, origin),
        applyChanges: (rows, origin) => this.#applyServers(rows, false, origin),
        // What a skipped row means depends on what this daemon knew before, so each daemon reads such rows itself.
        forward: (changes) => {
          if (!this.#hasSkipped) options.forwardServers(changes);
        },
      },
      ...shared,
      handleReturn: (awayMs) => this.#handleReturn(awayMs),
      batchMs: SERVERS_BATCH_MS,
      maxBatchMs: SERVERS_BATCH_MS,
      digest: { table: 'servers', from: digest },
    });
    this.#configurations = configurations;
    this.#servers = servers;
    this.#watches = [configurations, servers];
    this.#newestPeerVersion = new NewestPeerVersion({
      inForce: () => this.inForceVersion,
      reread: () => configurations.requestFullRead(),
      graceMs: timing().callTimeoutMs,
      timers,
      log,
    });
  }

  /** Calls to the store since the start. */
  get callsTotal(): number {
    return this.#watches.reduce((sum, watch) => sum + watch.callsTotal, 0);
  }

  /** Whether the store's last known configuration is malformed, so that an older one stays in force. */
  get isConfigurationUnreadable(): boolean {
    return this.#isConfigurationUnreadable;
  }

  /** The newest era that the store has reported. */
  get storeEra(): number {
    return Math.max(...this.#watches.map(({ progress }) => progress.era));
  }

  /** The number of tables that need a full read before their changes can be followed. */
  get unreadTables(): number {
    return this.#watches.filter(({ needsFullRead }) => needsFullRead).length;
  }

  /** The number of server rows that are malformed now. */
  get unreadableServers(): number {
    return this.#unreadable.count;
  }

  start(): void {
    for (const watch of this.#watches) {
      runLoopInBackground(this.#options, `watch ${watch.name}`, () => watch.run());
    }
  }

  stop(): void {
    for (const watch of this.#watches) watch.stop();
    for (const cancel of this.#cancelRereads) cancel();
    this.#cancelExpiry?.();
    this.#newestPeerVersion.stop();
  }

  /** The configuration version in force; 0 for none. */
  get inForceVersion(): number {
    return this.#options.fleet.inForce?.configuration.version ?? 0;
  }

  get #hasRelaysVersion(): boolean {
    const { configurationVersion } = this.#options.digest;
    return configurationVersion > 0 && this.inForceVersion >= configurationVersion;
  }

  /** The newest version that any daemon is known to have in force. */
  get highestVersion(): number {
    return this.#newestPeerVersion.highest;
  }

  /** Records the configuration version that another daemon reports to have in force. */
  recordPeerVersion(version: number, from: string): void {
    this.#newestPeerVersion.record(version, from);
  }

  /** The time since the store's last answer for a table, for the table where it is longest. */
  silentMs(): number {
    const nowMs = this.#options.timers.nowMs();
    return Math.max(...this.#watches.map((watch) => nowMs - watch.lastAnswerMs));
  }

  /** How long the list of servers has been followed without a gap; undefined if it is not followed now. */
  serversFollowedMs(): number | undefined {
    return this.#servers.followedMs;
  }

  /** How long the configuration has been in force; 0 for none. */
  inForceForMs(): number {
    const nowMs = this.#options.timers.nowMs();
    return nowMs - (this.#options.fleet.inForce?.sinceMs ?? nowMs);
  }

  /** The time since this daemon or its relay last checked the store for a newer configuration. */
  configurationCheckAgeMs(): number {
    const { timers, digest } = this.#options;
    return timers.nowMs() - Math.max(this.#configurations.lastAnswerMs, digest.relayContactAtMs);
  }

  /** Reads the list of servers again; resolves once it is applied, or after `limitMs`, to whether it is applied. */
  async readServersAgain(limitMs: number): Promise<boolean> {
    const { timers, log } = this.#options;
    const applied = new AbortController();
    const read = this.#servers.readAgain().then(() => applied.abort());
    runInBackground(log, 'read servers again', read);
    await delay(timers, limitMs, applied.signal);
    return applied.signal.aborted;
  }

  /** Handles an era that one watch has seen: the other watches enter it without waiting for an answer of their own. */
  #handleEra(era: number): void {
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

  /** Keeps servers in use whose rows may have expired while the store was away. */
  #handleReturn(awayMs: number): void {
    const { timing, timers } = this.#options;
    if (!isOutage(awayMs, timing())) return;
    this.#expired.begin(timers.nowMs());
  }

  /** Schedules the removal of the servers that are used without a row. */
  #scheduleExpiry(): void {
    this.#cancelExpiry?.();
    const { timers } = this.#options;
    const { nextEndMs } = this.#expired;
    if (nextEndMs === undefined) return;
    this.#cancelExpiry = timers.after(nextEndMs - timers.nowMs(), () => this.#removeMissing());
  }

  /** Removes the servers that have not written their rows again. */
  #removeMissing(): void {
    this.#remove(this.#expired.takeMissing(this.#options.timers.nowMs()));
    this.#scheduleExpiry();
  }

  /**
   * Applies changes of servers that the relay received from the store.
   * @param sentAfterMs they were sent after this moment; minus infinity if that is not known
   */
  applyServerChanges({ rows, ...span }: TableChanges<ServerRecord>, sentAfterMs: number): void {
    const changes = { ...span, rows: rows.map((row) => this.#withStart(row)) };
    this.#servers.offer(changes, sentAfterMs);
  }

  /** Relays of earlier releases send no start time; if the address is the same, the known start time is kept. */
  #withStart(row: WatchedRow<ServerRecord>): WatchedRow<ServerRecord> {
    if (row.kind !== 'value' || row.value.bornMs !== undefined) return row;
    const { address, bornMs } = this.#options.fleet.directory.get(row.key) ?? {};
    return address === row.value.address ? { ...row, value: { ...row.value, bornMs } } : row;
  }

  /**
   * Applies a configuration that another daemon received from the store. The document is complete and its version only
   * rises, so a newer one is applied whatever this daemon's watch has seen; the watch may be cut off from the store.
   * @returns whether the configuration was newer
   */
  applyForwardedConfiguration({ key, encoded, ...span }: ForwardedConfiguration): boolean {
    const before = this.inForceVersion;
    const row = this.#options.adapter.configurations.decode(key, encoded);
    if (row.kind !== 'value' || row.value.version <= before) return false;
    this.#configurations.offer({ ...span, rows: [row] }, Number.NEGATIVE_INFINITY);
    this.#applyConfigurations([row]);
    return true;
  }

  /** The digest that a relay sends to its zone. */
  digestToSend(): Omit<TableDigest, 'peersChecksum'> {
    return {
      configurationVersion: this.inForceVersion,
      configurations: this.#configurations.progress,
      servers: this.#servers.progress,
      ageMs: Math.round(this.silentMs()),
    };
  }

  /**
   * Applies a full read. A newer configuration is forwarded at once; it names no revisions, so the watches of the
   * receivers keep their own.
   */
  #applyAllConfigurations(rows: readonly WatchedRow<GatewayConfiguration>[]): boolean {
    const isNewer = this.#applyConfigurations(rows);
    if (isNewer)
      this.#options.forwardConfiguration({ era: FIRST_ERA, after: 0, revision: 0, rows });
    return isNewer;
  }

  /** @returns whether the version in force changed */
  #applyConfigurations(rows: readonly WatchedRow<GatewayConfiguration>[]): boolean {
    const before = this.#options.fleet.inForce?.configuration.version;
    for (const row of rows) {
      switch (row.kind) {
        case 'value':
          this.#isConfigurationUnreadable = false;
          this.#applyConfiguration(row.value);
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

  #applyConfiguration(configuration: GatewayConfiguration): void {
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
        this.#options.onConfigurationChanged();
        this.#newestPeerVersion.recordInForce(configuration.version);
        log.write(GATEWAY_EVENTS.configurationInForce, {
          ...fields,
          routes: configuration.routes.length,
          tenants: configuration.tenants?.length ?? 0,
        });
        this.#logSharedKeys(configuration.version);
        return;
    }
  }

  #logSharedKeys(configurationVersion: number): void {
    const { log, fleet } = this.#options;
    const sharedKeys = fleet.inForce?.tenants.sharedKeys ?? 0;
    if (sharedKeys > 0) log.write(GATEWAY_EVENTS.keysShared, { configurationVersion, sharedKeys });
  }

  /** @returns whether the list of servers changed */
  #applyServers(
    rows: readonly WatchedRow<ServerRecord>[],
    isComplete: boolean,
    origin: RowsOrigin,
  ): boolean {
    const { fleet, wallClock, timers, restored, log } = this.#options;
    const records: ServerRecord[] = [];
    const malformedIds: string[] = [];
    const goneIds: string[] = [];
    const listedIds = isComplete ? new Set(rows.map(({ key }) => key)) : undefined;
    if (listedIds !== undefined) this.#unreadable.retain(listedIds);
    for (const row of rows.map(usableRow)) {
      if (row.kind === 'malformed') this.#recordUnreadable(row.key, row.problem);
      else this.#unreadable.remove(row.key);
      if (row.kind === 'gone') goneIds.push(row.key);
      else if (this.#expired.release(row.key)) fleet.departures.recordRewritten(row.key);
      // A malformed row removes the server that the row held before.
      if (row.kind === 'value') records.push(row.value);
      if (row.kind === 'malformed') malformedIds.push(row.key);
    }
    this.#logUnnamed();
    const { directory } = fleet;
    const nowMs = timers.nowMs();
    const kept = this.#keepExpired(listedIds, goneIds, origin);
    const read = restored.correct({ records, listedIds }, directory, nowMs);
    this.#logRestored(read.corrected);
    const latestStartMs = wallClock() + MAX_START_AHEAD_MS;
    const keptIds = new Set(kept.map(({ id }) => id));
    const removedIds = [...malformedIds, ...goneIds.filter((id) => !keptIds.has(id))];
    const change = isComplete
      ? directory.replaceAll([...read.records, ...kept], latestStartMs)
      : directory.apply(read.records, removedIds, latestStartMs);
    this.#hasSkipped = change.skipped.length > 0;
    const learned = this.#departures.recordChange(change, origin);
    if (!isComplete) {
      runInBackground(log, 'check rewritten rows', this.#checkRewritten(change, origin));
    }
    if (origin.source === 'store') {
      this.#departures.advertise(learned, change, this.#servers.isSteady);
    }
    return this.#applyChange(change);
  }

  /**
   * A row that is read again may have been gone in between: changes of the list hold the last state of a row only. Its
   * server tells whether a late write has brought it back.
   */
  #checkRewritten({ rewritten }: DirectoryChange, origin: RowsOrigin): Promise<void> {
    const { departures } = this.#options.fleet;
    const inUse = rewritten.filter(
      ({ id, state }) => state === 'ready' && departures.of(id) === undefined,
    );
    return this.#checkInUse(inUse, origin);
  }

  /** Stops using those servers that say that they decline work. */
  async #checkInUse(servers: readonly ServerRecord[], origin: RowsOrigin): Promise<void> {
    await Promise.all(
      servers.map(async (server) => {
        if (!(await this.#options.declinesWork(server))) return;
        this.#departures.recordDeclined(server, origin);
        this.#options.onServersChanged();
      }),
    );
  }

  /** The servers that stay in use although a full read lacks them, or a change says that their rows are gone. */
  #keepExpired(
    listedIds: ReadonlySet<string> | undefined,
    goneIds: readonly string[],
    origin: RowsOrigin,
  ): readonly ServerRecord[] {
    const { fleet, timers, log } = this.#options;
    const { directory, departures } = fleet;
    const missingIds =
      listedIds === undefined
        ? goneIds
        : [...directory.all()].map(({ id }) => id).filter((id) => !listedIds.has(id));
    const hasLeft = (id: string) =>
      ['gone', 'unconfirmed'].includes(departures.of(id)?.state ?? '');
    const unexplainedIds = missingIds.filter((id) => !hasLeft(id));
    const { all, added } = this.#expired.keep(unexplainedIds, directory, timers.nowMs());
    this.#scheduleExpiry();
    fleet.departures.recordKept(added, origin);
    for (const { id, service } of added) {
      log.write(GATEWAY_EVENTS.serverRowExpired, { server: id, service, forMs: REWRITTEN_MS });
    }
    return all;
  }

  /** @returns whether the list of servers changed */
  #applyChange(change: DirectoryChange): boolean {
    const { fleet, cacheEventWatchers, recordServerStart, log, timers } = this.#options;
    const { added, changed, removed, restarted } = change;
    this.#options.restored.recordChange(change, timers.nowMs());
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
    const isChanged = added.length + changed.length + removed.length + restarted.length > 0;
    if (isChanged) this.#options.onServersChanged();
    return isChanged;
  }

  /** Applies departures that another daemon has read from the store. */
  applyDepartureNotices(notices: readonly DepartureNotice[]): void {
    const contradicted = this.#departures.contradictedBy(notices, this.#followed);
    const check = this.#checkInUse(contradicted, this.#originOfOwnDecision());
    runInBackground(this.#options.log, 'check servers in use', check);
    const dated = notices.map((notice) => this.#withKnownTime(notice));
    const learned = this.#departures.applyNotices(dated, this.#followed);
    if (learned.length === 0) return;
    const goneIds = learned.filter(({ state }) => state === 'gone').map(({ server }) => server.id);
    // The other daemon's calls were answered all along, so the store was not away.
    this.#remove(goneIds.filter((id) => this.#expired.release(id)));
    this.#options.onServersChanged();
  }

  /** A row that the list here still shows as ready did not change before the time as of which the list is known. */
  #withKnownTime(notice: DepartureNotice): DepartureNotice {
    const changedAfterMs = Math.max(notice.changedAfterMs, this.#servers.asOfMs);
    return { ...notice, changedAfterMs };
  }

  get #followed(): StorePosition {
    const { era, seen: revision } = this.#servers.progress;
    return { era, revision };
  }

  /** The origin of a change that this daemon makes by itself, without a row that says so. */
  #originOfOwnDecision(): RowsOrigin {
    const changedAfterMs = this.#options.timers.nowMs();
    return { source: 'store', ...this.#followed, changedAfterMs };
  }

  /** Removes servers that were used without a row. */
  #remove(ids: readonly string[]): void {
    if (ids.length === 0) return;
    const { fleet } = this.#options;
    const change = fleet.directory.apply([], ids);
    this.#departures.recordChange(change, this.#originOfOwnDecision());
    this.#applyChange(change);
  }

  /** Logs each corrected server once; the list is read several times after a restore of the store. */
  #logRestored(corrected: readonly RestoredServer[]): void {
    for (const { server, reason } of corrected) {
      const logKey = `${server.id} ${reason}`;
      if (this.#loggedRestored.has(logKey)) continue;
      this.#loggedRestored.add(logKey);
      const { id, service, state } = server;
      const fields = { server: id, service, state, reason, era: this.#era };
      this.#options.log.write(GATEWAY_EVENTS.serverRowRestored, fields);
    }
  }

  /** Logs each problem of a row once; each full read parses the row again. */
  #recordUnreadable(server: string, problem: string): void {
    if (!this.#unreadable.add(server, problem)) return;
    const unreadable = this.#unreadable.count;
    this.#options.log.write(GATEWAY_EVENTS.serverMalformed, { server, problem, unreadable });
  }

  /** Logs once that there are too many unreadable rows to name all. */
  #logUnnamed(): void {
    const { count: unreadable, unnamed } = this.#unreadable;
    const hadUnnamed = this.#hasUnnamed;
    this.#hasUnnamed = unnamed > 0;
    if (!this.#hasUnnamed || hadUnnamed) return;
    const table = this.#options.adapter.servers.name;
    this.#options.log.write(ENTRY_EVENTS.rowsUnnamed, { table, unreadable, unnamed });
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
      softwareVersion: server.softwareVersion ?? '',
    });
  }
}
