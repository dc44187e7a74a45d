/**
 * What a gateway believes at this moment: the configuration in force, the listed servers, and what
 * it has seen of each. The configuration never goes back to a lower version.
 */
import {
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

/** Entries for web servers in one message, beside those for engines: crowded services have few servers. */
const MOST_WEB_ENTRIES = 16;

/** A configuration with its indexes. */
export interface ConfigurationInForce {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  readonly tenants: TenantTable;
  readonly sinceMs: number;
}

/** How a new configuration was met. */
export type ConfigurationOutcome = 'taken' | 'older' | 'same';

/** The beliefs that requests are decided from. */
export class FleetView {
  readonly directory = new ServerDirectory();
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
  readonly #noteBudgetBegun: (service: string, budget: RetryBudget) => void;
  readonly #size = new FleetSize();
  readonly #countsOverdue: boolean;

  /**
   * @param budgetOptions the bound on repeats that all daemons share
   * @param noteBudgetBegun told when a service's first request creates its budget
   * @param decisions which decisions under load are made
   */
  constructor(
    budgetOptions: RetryBudgetOptions,
    noteBudgetBegun: (service: string, budget: RetryBudget) => void = () => undefined,
    decisions: Pick<LoadDecisions, 'enginePaces' | 'waiting'> = DEFAULT_LOAD_DECISIONS,
  ) {
    this.#countsOverdue = decisions.waiting;
    this.#budgetOptions = budgetOptions;
    this.#noteBudgetBegun = noteBudgetBegun;
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

  /** Forgets what was known of servers that are gone, and of lives that are over. */
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
    // What it said of its limit holds on: an entry may lapse and come back while the store is away.
    for (const { id } of removed) this.permits.forget(id);
  }

  /** Servers of a service that may be sent new work. */
  candidates(service: string, nowMs: number): ServerRecord[] {
    return this.#usableOf(service, nowMs, ['open']);
  }

  /** The same, and those that nothing but their limit keeps from it. */
  candidatesWithLimited(service: string, nowMs: number): ServerRecord[] {
    return this.#usableOf(service, nowMs, ['open', 'at-limit']);
  }

  #usableOf(
    service: string,
    nowMs: number,
    kinds: readonly SendAvailability['kind'][],
  ): ServerRecord[] {
    const open = this.directory
      .readyOf(service)
      .filter((server) => kinds.includes(this.availabilityOf(server, nowMs).kind))
      .filter(({ id }) => !this.isUnreachable(id, nowMs));
    return this.stageNotices.usable(open, nowMs);
  }

  /** Whether a server may be sent a caller's request now, by its own word and the permits that there are. */
  availabilityOf(server: ServerRecord, nowMs: number): SendAvailability {
    const availability = this.availability.of(server, nowMs);
    const limit = this.limits.of(server.id);
    if (availability.kind !== 'open' || limit === undefined) return availability;
    if (this.permits.countFor(server.id, nowMs) > 0) return availability;
    const forMs = this.permits.expectedInMs(server.id, nowMs);
    return { kind: 'at-limit', toldAgoMs: nowMs - limit.reportedAtMs, forMs };
  }

  /** Servers of a service that nothing but their limit keeps from being sent work. */
  serversAtLimit(service: string, nowMs: number): ServerRecord[] {
    return this.limits.count === 0 ? [] : this.#usableOf(service, nowMs, ['at-limit']);
  }

  /** Servers of a service that are there and stay: listed as ready, and none has said that it leaves. */
  readyOf(service: string, nowMs: number): ServerRecord[] {
    return this.directory
      .readyOf(service)
      .filter((server) => this.availability.of(server, nowMs).kind !== 'leaving');
  }

  /** Whether a life of a server was one to stay, also if another one has followed since. */
  wasReady(server: ServerRecord, nowMs: number): boolean {
    const isLeaving = this.availability.of(server, nowMs).kind === 'leaving';
    return !isLeaving && this.directory.wasReady(server);
  }

  /** How many ready servers of a service have said that they leave or want rest. */
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

  /** Whether a server answers no connection, as far as is known. */
  isUnreachable(serverId: string, nowMs: number): boolean {
    return this.#health.get(serverId)?.isUnreachable(nowMs) === true;
  }

  /** Whether calls to a server are expected to come through. */
  isReachable(serverId: string, nowMs: number): boolean {
    const health = this.#health.get(serverId);
    return health === undefined || !(health.isUnreachable(nowMs) || health.isEjected(nowMs));
  }

  /**
   * When there may be room for a request that no server took: as soon as the first of those that were
   * passed over is tried again. Undefined where none was passed over.
   */
  capacityExpectedInMs(service: string, nowMs: number): number | undefined {
    const waitsMs = this.readyOf(service, nowMs)
      .filter(({ stage }) => stage !== 'prefill')
      .map((server) => this.#passedOverMs(server, nowMs))
      .filter((waitMs) => waitMs > 0);
    return waitsMs.length === 0 ? undefined : Math.min(...waitsMs);
  }

  /** How many of all listed servers have said that they leave, or want rest now. */
  countReporting(kind: Unavailable['kind'], nowMs: number): number {
    return this.#countOf(kind, [...this.directory.all()], nowMs);
  }

  #countOf(kind: Unavailable['kind'], servers: readonly ServerRecord[], nowMs: number): number {
    return servers.filter((server) => this.availability.of(server, nowMs).kind === kind).length;
  }

  #passedOverMs(server: ServerRecord, nowMs: number): number {
    const availability = this.availabilityOf(server, nowMs);
    const waitMs = 'forMs' in availability ? availability.forMs : 0;
    return Math.max(waitMs, this.#health.get(server.id)?.skippedForMs(nowMs) ?? 0);
  }

  /** A server that another daemon found silent, or back. */
  handleReachability(notice: ReachabilityNotice, nowMs: number): void {
    if (this.directory.get(notice.serverId) === undefined) return;
    this.healthOf(notice.serverId).applyReachNotice(notice, nowMs);
  }

  /** Servers of a service, those that are changing their stage as they will be. */
  expectedServers(service: string, nowMs: number): ServerRecord[] {
    return this.stageNotices.expected(this.readyOf(service, nowMs), nowMs);
  }

  healthOf(serverId: string): ServerHealth {
    // A plan asks for all engines: where there is an entry, no function is made to create one.
    return (
      this.#health.get(serverId) ?? getOrCreate(this.#health, serverId, () => new ServerHealth())
    );
  }

  loadOf(serverId: string): EngineLoad {
    const known = this.#loads.get(serverId);
    return known ?? getOrCreate(this.#loads, serverId, () => new EngineLoad(this.#countsOverdue));
  }

  /** What an engine has under way from all daemons; only good to compare engines. */
  busyOf(engineId: string, nowMs: number): number {
    const running = this.loadOf(engineId).running + this.peerLoads.running(engineId, nowMs);
    return running + this.waitingMs(engineId, nowMs);
  }

  /** What waits at the busiest of the engines that only read against their mean; 0 while nothing waits. */
  busiestToMeanWait(nowMs: number): number {
    const services = [...(this.#inForce?.configuration.services.keys() ?? [])];
    const engines = services.flatMap((service) => this.candidates(service, nowMs));
    const waitsMs = engines
      .filter(({ stage }) => stage === 'prefill')
      .map(({ id }) => this.waitingMs(id, nowMs));
    const totalMs = waitsMs.reduce((sum, waitMs) => sum + waitMs, 0);
    return totalMs > 0 ? (Math.max(...waitsMs) * waitsMs.length) / totalMs : 0;
  }

  /** The prompts of all daemons that wait at an engine, as far as they are known here. */
  waitingMs(engineId: string, nowMs: number): number {
    const load = this.loadOf(engineId);
    const ownMs = load.pendingMs('in-time', nowMs) + load.pendingMs('late', nowMs);
    return ownMs + this.peerLoads.waitMs(engineId, 'late', nowMs);
  }

  /** Whether a service has fewer slots than there are daemons, so that each sees little of its servers' work. */
  isCrowded(service: string): boolean {
    const slots = this.directory.readyOf(service).reduce((sum, server) => sum + server.slots, 0);
    return (this.#size.listed ?? 1) > slots;
  }

  /**
   * The work expected at the web servers of a service.
   * @param isTold whether other daemons tell of their calls there
   */
  webLoadsOf(service: string, isTold: boolean, nowMs: number): (serverId: string) => WebServerLoad {
    const isCrowded = this.isCrowded(service);
    const hearsOthers = isCrowded && isTold && this.peerLoads.hasReceived(nowMs);
    return (id) => {
      const { openCalls: ownCalls, responseMs } = this.healthOf(id);
      const advertisedCalls = hearsOthers ? this.peerLoads.running(id, nowMs) : undefined;
      return this.webLoads.estimate(
        id,
        { ownCalls, advertisedCalls, responseMs, isCrowded },
        nowMs,
      );
    };
  }

  /** This daemon's calls to web servers of crowded services, for its peers; the most first. */
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
    return byCalls.slice(0, MOST_WEB_ENTRIES);
  }

  /** This daemon's work at engines, for its peers. */
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

  /** Takes an engine's cache news that another daemon passed on. */
  applyCacheEvents(news: EngineCacheEvents, nowMs: number): void {
    const { engineId, isReset, events } = news;
    if (this.directory.get(engineId) === undefined) return;
    if (isReset) this.prefixIndex.forget(engineId);
    for (const { partId, tokens } of events) {
      this.prefixIndex.confirmFromPeer(engineId, partId, tokens, nowMs);
    }
  }

  speedOf(service: string): ReadSpeed {
    return getOrCreate(this.#speeds, service, () => new ReadSpeed(this.paces.sharesLine));
  }

  /** An engine's pace against the usual one of its service, by which its part of the work is counted. */
  paceOf(engineId: string): number {
    return this.paces.paceOf(engineId);
  }

  /** How long prompts of an urgency wait, against what the work that is known says. */
  waitScaleOf(service: string, urgency: Urgency): ForecastScale {
    return getOrCreate(this.#waitScales, `${urgency} ${service}`, () => new ForecastScale());
  }

  /** What was sent to a service lately, by rank. */
  rankSharesOf(service: string): RankShares {
    return getOrCreate(this.#rankShares, service, () => new RankShares());
  }

  /** How long the more urgent kinds of a service can wait. */
  urgentSlackOf(service: string): UrgentSlack {
    return getOrCreate(this.#slacks, service, () => new UrgentSlack());
  }

  budgetOf(service: string): RetryBudget {
    return getOrCreate(this.#budgets, service, () => {
      const budget = new RetryBudget(this.#budgetOptions, this.#size.sharers);
      this.#noteBudgetBegun(service, budget);
      return budget;
    });
  }

  /** The retry budgets of the services that were asked for. */
  get budgets(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets;
  }

  /** How many daemons there are, as far as their lists say. */
  get size(): Pick<FleetSize, 'listed' | 'sharers'> {
    return this.#size;
  }

  /** How many daemons a list holds that was read, or that the zone's relay has as well. */
  setDaemonCount(daemons: number): void {
    this.#size.recordListed(daemons);
    const { sharers } = this.#size;
    if (sharers === undefined) return;
    for (const budget of this.#budgets.values()) budget.setDaemonCount(sharers);
  }
}
