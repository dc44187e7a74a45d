/**
 * A gateway's current view of the fleet: the configuration in force, the listed servers, and what this daemon has
 * observed or received about each. The configuration never goes back to a lower version.
 */
import {
  Departures,
  type DirectoryChange,
  EngineLoad,
  type EngineWork,
  FleetPaces,
  FleetSize,
  ForecastScale,
  type GatewayConfiguration,
  LimitPermits,
  type LoadReport,
  NamedLimits,
  PeerLoads,
  PrefixCacheIndex,
  RankShares,
  type ReachabilityNotice,
  type ReadNotice,
  ReadSpeed,
  RecentSends,
  RetryBudget,
  type RetryBudgetOptions,
  RouteTable,
  type SendAvailability,
  ServerAvailability,
  ServerDirectory,
  ServerHealth,
  type ServerRecord,
  StageNotices,
  TenantTable,
  TrafficSplitter,
  type Unavailable,
  type Urgency,
  UrgentSlack,
  type WebServerLoad,
  WebServerLoads,
} from '../../core/gateway/index.js';
import { FleetDemand } from './fleet-demand.js';
import { DEFAULT_LOAD_DECISIONS, type LoadDecisions } from './gateway-settings.js';
import { getOrCreate } from './get-or-create.js';
import type { EngineCacheEvents } from './peer-messages.js';
import { SYSTEM_TIMERS } from './timer-service.js';

/** Web servers per message, in addition to the engines; enough, as crowded services have few servers. */
const MAX_WEB_ENTRIES = 16;

/** A configuration with its indexes. */
export interface ConfigurationInForce {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  readonly tenants: TenantTable;
  readonly sinceMs: number;
}

/** What became of a received configuration. */
export type ConfigurationOutcome = 'taken' | 'older' | 'same';

/** The state of the fleet on which requests are routed. */
export class FleetView {
  readonly directory = new ServerDirectory();
  readonly departures: Departures;
  readonly availability = new ServerAvailability();
  readonly limits = new NamedLimits();
  readonly permits = new LimitPermits();
  readonly recentSends = new RecentSends();
  readonly splitter = new TrafficSplitter();
  readonly prefixIndex = new PrefixCacheIndex();
  readonly peerLoads = new PeerLoads();
  readonly stageNotices = new StageNotices();
  readonly paces: FleetPaces;
  readonly demand: FleetDemand;
  readonly webLoads = new WebServerLoads();
  readonly #budgetOptions: RetryBudgetOptions;
  readonly #health = new Map<string, ServerHealth>();
  readonly #loads = new Map<string, EngineLoad>();
  readonly #speeds = new Map<string, ReadSpeed>();
  readonly #waitScales = new Map<string, ForecastScale>();
  readonly #rankShares = new Map<string, RankShares>();
  readonly #slacks = new Map<string, UrgentSlack>();
  readonly #budgets = new Map<string, RetryBudget>();
  #inForce: ConfigurationInForce | undefined;
  readonly #onBudgetCreated: (service: string, budget: RetryBudget) => void;
  readonly #size = new FleetSize();
  readonly #countsOverdue: boolean;

  /**
   * @param budgetOptions the bound on repeats, shared by all daemons
   * @param onBudgetCreated called when a service's first request creates its budget
   * @param decisions the load decisions that are switched on
   * @param drainMs how long servers accept work after they have said that they drain; 0 if not known
   * @param departureNowMs the clock by which the list of servers is followed
   */
  constructor(
    budgetOptions: RetryBudgetOptions,
    onBudgetCreated: (service: string, budget: RetryBudget) => void = () => undefined,
    decisions: Pick<LoadDecisions, 'enginePaces' | 'waiting'> = DEFAULT_LOAD_DECISIONS,
    drainMs = 0,
    departureNowMs: () => number = () => SYSTEM_TIMERS.nowMs(),
  ) {
    this.departures = new Departures(this.directory, drainMs, departureNowMs);
    this.#countsOverdue = decisions.waiting;
    this.#budgetOptions = budgetOptions;
    this.#onBudgetCreated = onBudgetCreated;
    this.paces = new FleetPaces({
      use: decisions.enginePaces,
      speedOf: (service) => this.speedOf(service),
      serviceOf: (id) => this.directory.get(id)?.service,
    });
    this.demand = new FleetDemand({
      peerLoads: this.peerLoads,
      paces: this.paces,
      size: this.#size,
      limits: this.limits,
      candidates: (service, nowMs) => this.candidates(service, nowMs),
      readyOf: (service, nowMs) => this.readyOf(service, nowMs),
    });
  }

  get inForce(): ConfigurationInForce | undefined {
    return this.#inForce;
  }

  get isReady(): boolean {
    return this.#inForce !== undefined && this.directory.size > 0;
  }

  applyConfiguration(configuration: GatewayConfiguration, nowMs: number): ConfigurationOutcome {
    const currentVersion = this.#inForce?.configuration.version;
    if (currentVersion === configuration.version) return 'same';
    if (currentVersion !== undefined && configuration.version < currentVersion) return 'older';
    const routes = new RouteTable(configuration.routes);
    const tenants = new TenantTable(configuration.tenants, configuration.routes);
    this.#inForce = { configuration, routes, tenants, sinceMs: nowMs };
    this.splitter.retain(configuration.routes);
    return 'taken';
  }

  /** Forgets the state of removed servers and of earlier boots of restarted ones. */
  forgetEndedBoots({ removed, restarted }: Pick<DirectoryChange, 'removed' | 'restarted'>): void {
    for (const server of [...removed, ...restarted]) {
      this.#health.delete(server.id);
      this.#loads.delete(server.id);
      this.stageNotices.forget(server.id);
      this.prefixIndex.forget(server.id);
      this.peerLoads.forget(server.id);
      this.paces.forget(server);
      this.webLoads.forget(server.id);
    }
    // The reported limit stays in force: a server's entry may lapse and return while the store is unreachable.
    for (const { id } of removed) this.permits.forget(id);
  }

  /** Draining servers of a service that may still be sent the rest of a stream that has begun. */
  resumableWhileDraining(service: string, nowMs: number): readonly ServerRecord[] {
    return this.departures
      .resumable()
      .filter((server) => server.service === service)
      .filter((server) => this.availabilityOf(server, nowMs).kind === 'open')
      .filter(({ id }) => !this.isUnreachable(id, nowMs));
  }

  /** Servers of a service that may be sent new work. */
  candidates(service: string, nowMs: number): ServerRecord[] {
    return this.#usableOf(service, nowMs, ['open']);
  }

  /** The candidates and those servers that only their rate limit keeps from being candidates. */
  candidatesWithLimited(service: string, nowMs: number): ServerRecord[] {
    return this.#usableOf(service, nowMs, ['open', 'at-limit']);
  }

  #usableOf(
    service: string,
    nowMs: number,
    kinds: readonly SendAvailability['kind'][],
  ): ServerRecord[] {
    const sendable = this.#listedReady(service)
      .filter((server) => kinds.includes(this.availabilityOf(server, nowMs).kind))
      .filter(({ id }) => !this.isUnreachable(id, nowMs));
    return this.stageNotices.usable(sendable, nowMs);
  }

  /** Whether a server may be sent a caller's request now, by its reported availability and the available permits. */
  availabilityOf(server: ServerRecord, nowMs: number): SendAvailability {
    const availability = this.availability.of(server, nowMs);
    const limit = this.limits.of(server.id);
    if (availability.kind !== 'open' || limit === undefined) return availability;
    if (this.permits.countFor(server.id, nowMs) > 0) return availability;
    const forMs = this.permits.expectedInMs(server.id, nowMs);
    return { kind: 'at-limit', toldAgoMs: nowMs - limit.reportedAtMs, forMs };
  }

  /** Servers of a service that only their rate limit keeps from being sent work. */
  serversAtLimit(service: string, nowMs: number): ServerRecord[] {
    return this.limits.count === 0 ? [] : this.#usableOf(service, nowMs, ['at-limit']);
  }

  /** Servers of a service that are listed as ready and have not reported that they are leaving. */
  readyOf(service: string, nowMs: number): ServerRecord[] {
    return this.#listedReady(service).filter(
      (server) => this.availability.of(server, nowMs).kind !== 'leaving',
    );
  }

  #listedReady(service: string): ServerRecord[] {
    return this.directory.readyOf(service).filter(({ id }) => !this.departures.isWithheld(id));
  }

  /** Whether a boot of a server was ready and not leaving, even if the server has been restarted since. */
  wasReady(server: ServerRecord, nowMs: number): boolean {
    const isLeaving = this.availability.of(server, nowMs).kind === 'leaving';
    return !isLeaving && this.directory.wasReady(server);
  }

  /** How many ready servers of a service have reported that they are leaving, or asked for a back-off. */
  unavailableOf(
    service: string,
    nowMs: number,
  ): { readonly leaving: number; readonly resting: number } {
    const listed = this.directory.readyOf(service);
    return {
      leaving: this.#countOf('leaving', listed, nowMs),
      resting: this.#countOf('resting', listed, nowMs),
    };
  }

  /** Whether a server is known to accept no connections. */
  isUnreachable(serverId: string, nowMs: number): boolean {
    return this.#health.get(serverId)?.isUnreachable(nowMs) === true;
  }

  /** Whether calls to a server are expected to succeed: it is neither unreachable nor ejected. */
  isReachable(serverId: string, nowMs: number): boolean {
    const health = this.#health.get(serverId);
    return health === undefined || !(health.isUnreachable(nowMs) || health.isEjected(nowMs));
  }

  /**
   * Time until there may be capacity for a request that no server accepted: until the first skipped server is eligible
   * again. Undefined if none is skipped.
   */
  capacityExpectedInMs(service: string, nowMs: number): number | undefined {
    const waitsMs = this.readyOf(service, nowMs)
      .filter(({ stage }) => stage !== 'prefill')
      .map((server) => this.#skippedForMs(server, nowMs))
      .filter((waitMs) => waitMs > 0);
    return waitsMs.length === 0 ? undefined : Math.min(...waitsMs);
  }

  /** How many of all listed servers have reported that they are leaving, or are in a back-off period now. */
  countReporting(kind: Unavailable['kind'], nowMs: number): number {
    return this.#countOf(kind, [...this.directory.all()], nowMs);
  }

  #countOf(kind: Unavailable['kind'], servers: readonly ServerRecord[], nowMs: number): number {
    return servers.filter((server) => this.availability.of(server, nowMs).kind === kind).length;
  }

  #skippedForMs(server: ServerRecord, nowMs: number): number {
    const availability = this.availabilityOf(server, nowMs);
    const waitMs = 'forMs' in availability ? availability.forMs : 0;
    return Math.max(waitMs, this.#health.get(server.id)?.skippedForMs(nowMs) ?? 0);
  }

  /** Handles a read that another daemon has begun; the engine may be one that is not listed here. */
  handleRead(read: ReadNotice, nowMs: number): void {
    if (this.directory.get(read.engineId) === undefined) return;
    this.prefixIndex.expectRead(read, nowMs);
  }

  /** Applies another daemon's notice that a server does not answer, or answers again. */
  handleReachability(notice: ReachabilityNotice, nowMs: number): void {
    if (this.directory.get(notice.serverId) === undefined) return;
    this.healthOf(notice.serverId).applyReachNotice(notice, nowMs);
  }

  /** Servers of a service; those that are changing their stage are given with the new stage. */
  expectedServers(service: string, nowMs: number): ServerRecord[] {
    return this.stageNotices.expected(this.readyOf(service, nowMs), nowMs);
  }

  healthOf(serverId: string): ServerHealth {
    // Each plan reads the health of all engines: for an existing entry no closure is allocated.
    return (
      this.#health.get(serverId) ?? getOrCreate(this.#health, serverId, () => new ServerHealth())
    );
  }

  loadOf(serverId: string): EngineLoad {
    const known = this.#loads.get(serverId);
    return known ?? getOrCreate(this.#loads, serverId, () => new EngineLoad(this.#countsOverdue));
  }

  /**
   * An engine's work from all daemons, as running requests plus milliseconds of waiting prompts: only good to compare
   * engines.
   */
  busyOf(engineId: string, nowMs: number): number {
    const running = this.loadOf(engineId).running + this.peerLoads.running(engineId, nowMs);
    return running + this.waitingMs(engineId, nowMs);
  }

  /** Waiting work at the busiest prefill engine, relative to the mean of all prefill engines; 0 while nothing waits. */
  busiestToMeanWait(nowMs: number): number {
    const services = [...(this.#inForce?.configuration.services.keys() ?? [])];
    const engines = services.flatMap((service) => this.candidates(service, nowMs));
    const waitsMs = engines
      .filter(({ stage }) => stage === 'prefill')
      .map(({ id }) => this.waitingMs(id, nowMs));
    const totalMs = waitsMs.reduce((sum, waitMs) => sum + waitMs, 0);
    return totalMs > 0 ? (Math.max(...waitsMs) * waitsMs.length) / totalMs : 0;
  }

  /** Milliseconds of prompts, from all daemons, that are known to wait at an engine. */
  waitingMs(engineId: string, nowMs: number): number {
    const load = this.loadOf(engineId);
    const ownMs = load.pendingMs('in-time', nowMs) + load.pendingMs('late', nowMs);
    return ownMs + this.peerLoads.waitMs(engineId, 'late', nowMs);
  }

  /** Whether a service has fewer slots than there are daemons, so that each sees only a small part of its work. */
  isCrowded(service: string): boolean {
    const slots = this.directory.readyOf(service).reduce((sum, server) => sum + server.slots, 0);
    return (this.#size.listed ?? 1) > slots;
  }

  /**
   * The estimated load of the web servers of a service.
   * @param isAdvertised whether other daemons advertise their calls to these servers
   */
  webLoadsOf(
    service: string,
    isAdvertised: boolean,
    nowMs: number,
  ): (serverId: string) => WebServerLoad {
    const isCrowded = this.isCrowded(service);
    const usesAdvertised = isCrowded && isAdvertised && this.peerLoads.hasReceived(nowMs);
    return (id) => {
      const { openCalls: ownCalls, responseMs } = this.healthOf(id);
      const advertisedCalls = usesAdvertised ? this.peerLoads.running(id, nowMs) : undefined;
      return this.webLoads.estimate(
        id,
        { ownCalls, advertisedCalls, responseMs, isCrowded },
        nowMs,
      );
    };
  }

  /** This daemon's calls to web servers of crowded services, to be advertised to its peers; the busiest first. */
  ownWebWork(): LoadReport['work'] {
    const work: EngineWork[] = [];
    const crowded = new Map<string, boolean>();
    for (const [engineId, { openCalls: running }] of this.#health) {
      const server = running > 0 ? this.directory.get(engineId) : undefined;
      if (server === undefined || server.stage !== undefined) continue;
      const { service } = server;
      const isCrowded = getOrCreate(crowded, service, () => this.isCrowded(service));
      if (isCrowded) work.push({ engineId, pendingMs: 0, lateMs: 0, running });
    }
    const byCalls = work.sort((left, right) => right.running - left.running);
    return byCalls.slice(0, MAX_WEB_ENTRIES);
  }

  /** This daemon's work at engines, to be advertised to its peers. */
  ownWork(nowMs: number): LoadReport['work'] {
    const work: EngineWork[] = [];
    for (const [engineId, load] of this.#loads) {
      const pendingMs = load.pendingMs('in-time', nowMs);
      const lateMs = load.pendingMs('late', nowMs);
      if (pendingMs > 0 || lateMs > 0 || load.running > 0) {
        work.push({ engineId, pendingMs, lateMs, running: load.running });
      }
    }
    return work;
  }

  /** Applies an engine's cache events that another daemon forwarded. */
  applyCacheEvents(change: EngineCacheEvents, nowMs: number): void {
    const { engineId, isReset, events } = change;
    if (this.directory.get(engineId) === undefined) return;
    if (isReset) this.prefixIndex.forget(engineId);
    for (const { partId, tokens } of events) {
      this.prefixIndex.confirmFromPeer(engineId, partId, tokens, nowMs);
    }
  }

  speedOf(service: string): ReadSpeed {
    return getOrCreate(this.#speeds, service, () => new ReadSpeed(this.paces.sharesLine));
  }

  /** An engine's pace relative to the typical one of its service. */
  paceOf(engineId: string): number {
    return this.paces.paceOf(engineId);
  }

  /** How long prompts of an urgency wait, relative to what is forecast from the known work. */
  waitScaleOf(service: string, urgency: Urgency): ForecastScale {
    return getOrCreate(this.#waitScales, `${urgency} ${service}`, () => new ForecastScale());
  }

  /** The work recently sent to a service, by rank. */
  rankSharesOf(service: string): RankShares {
    return getOrCreate(this.#rankShares, service, () => new RankShares());
  }

  /** How long the more urgent ranks of a service can still wait. */
  urgentSlackOf(service: string): UrgentSlack {
    return getOrCreate(this.#slacks, service, () => new UrgentSlack());
  }

  budgetOf(service: string): RetryBudget {
    return getOrCreate(this.#budgets, service, () => {
      const budget = new RetryBudget(this.#budgetOptions, this.#size.sharers);
      this.#onBudgetCreated(service, budget);
      return budget;
    });
  }

  /** The retry budgets, by service; a service has one from its first request on. */
  get budgets(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets;
  }

  /** The number of daemons, as known from the lists read. */
  get size(): Pick<FleetSize, 'listed' | 'sharers'> {
    return this.#size;
  }

  /** Records the length of a list of daemons that was read, or that was found equal to the list of the zone's relay. */
  setDaemonCount(daemons: number): void {
    this.#size.recordListed(daemons);
    const { sharers } = this.#size;
    if (sharers === undefined) return;
    for (const budget of this.#budgets.values()) budget.setDaemonCount(sharers);
  }
}
