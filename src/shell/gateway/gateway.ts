/**
 * A gateway: accepts described requests and runs them on the listed servers as configured. It keeps no state on its
 * machine; configuration and servers come from the platform's store.
 */
import { randomInt } from 'node:crypto';
import type { Server } from 'node:http';
import { totalmem } from 'node:os';
import type { Result } from 'neverthrow';
import {
  type Departure,
  lateDatagramMs,
  MemoryLedger,
  maxDigestSilenceMs,
  maxStallMs,
  PeerRoster,
  type ReachabilityNotice,
  RestoredServers,
  requestMemoryLimits,
  rowExpiryMs,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { AdmissionGate } from './admission-gate.js';
import type { AttemptContext } from './attempt.js';
import { BackendConnections } from './backend-connections.js';
import { CacheEventWatchers } from './cache-event-watchers.js';
import { CallerListener } from './caller-listener.js';
import { CallerRefusals } from './caller-refusals.js';
import { Confirmations } from './confirmations.js';
import { CrashGuard } from './crash-guard.js';
import { DatagramDelays } from './datagram-delays.js';
import { DepartureGossip } from './departure-gossip.js';
import { DepartureReports } from './departure-reports.js';
import { Duties } from './duties.js';
import { FleetFollower } from './fleet-follower.js';
import { FleetView } from './fleet-view.js';
import { ForwardingListener } from './forwarding-listener.js';
import { addGauges } from './gateway-gauges.js';
import { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import { GatewayStop } from './gateway-stop.js';
import { runInBackground } from './internal-faults.js';
import { LimitCoordinator } from './limit-coordinator.js';
import { PathComparison } from './path-comparison.js';
import { PeerExchange } from './peer-exchange.js';
import { type ListenerName, PortOpener, tryListen } from './port-opener.js';
import type { PlatformAdapter } from './ports.js';
import { RelayDigest } from './relay-digest.js';
import { RequestForwarder } from './request-forwarder.js';
import type { GatewayLog } from './request-log.js';
import { processorMs, ResourceMonitor, readHeap } from './resource-monitor.js';
import { RetryBudgetReporter } from './retry-budget-reporter.js';
import { RosterCacheEventDuty } from './roster-cache-event-duty.js';
import { ServerCalls } from './server-calls.js';
import { ServerExitCheck } from './server-exit-check.js';
import { ServicePathMonitor } from './service-path-monitor.js';
import { createMetricsServer, createReadinessServer } from './small-listeners.js';
import { StageController } from './stage-controller.js';
import { StallMonitor } from './stall-monitor.js';
import { StreamContinuity } from './stream-continuity.js';
import { StreamWaits } from './stream-waits.js';
import {
  steadyWallClock,
  suspensionAwareTimers,
  type TimerService,
  type WallClock,
} from './timer-service.js';
import {
  maxAnswerGapMs,
  maxDigestAgeMs,
  recheckSpans,
  type WatchRole,
  watchTiming,
} from './watch-timing.js';
import { WebWork } from './web-work.js';

/** Requests wait no longer than this for a daemon that stood still to read the list of servers again. */
const MAX_RECOVERY_MS = 300;
/** Incarnation numbers, which tell the starts of a daemon apart, are below this. */
const INCARNATION_LIMIT = 2 ** 47;
const MILLISECONDS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Dependencies and settings of a gateway. */
export interface GatewayOptions {
  /** Identifies the program that runs; part of the first log line, of rare warnings and of the metrics. */
  readonly build: string;
  readonly settings: GatewaySettings;
  readonly adapter: PlatformAdapter;
  readonly timers: TimerService;
  readonly wallClock: WallClock;
  readonly log: GatewayLog;
}

/** The ports on which a gateway listens. */
export interface GatewayAddresses {
  readonly callersPort: number;
  readonly readinessPort: number;
  /** For requests that other daemons forward; undefined if the settings name no address for peers. */
  readonly forwardPort: number | undefined;
}

interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** A running gateway. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #fleet: FleetView;
  readonly #roster: PeerRoster;
  readonly #metrics = new GatewayMetrics();
  readonly #connections: BackendConnections;
  readonly #callers: CallerListener;
  readonly #servers: Server[] = [];
  readonly #follower: FleetFollower;
  readonly #cacheEventWatchers: CacheEventWatchers;
  readonly #stages: StageController;
  /** Undefined if the settings name no address for peers. */
  readonly #peers: PeerExchange | undefined;
  readonly #admission: AdmissionGate;
  readonly #digest: RelayDigest;
  readonly #datagramDelays: DatagramDelays;
  readonly #retryBudgets: RetryBudgetReporter;
  readonly #duties: Duties;
  readonly #suspensionAwareTimers: TimerService;
  readonly #steadyClock: WallClock;
  readonly #crashes: CrashGuard;
  readonly #webWork: WebWork;
  readonly #limits: LimitCoordinator;
  readonly #streams: StreamContinuity;
  readonly #paths: ServicePathMonitor;
  readonly #departures: DepartureGossip;
  readonly #comparison: PathComparison;
  readonly #exitCheck: ServerExitCheck;
  readonly #departureReports: DepartureReports;
  readonly #stalls: StallMonitor;
  readonly #resources: ResourceMonitor;
  readonly #forwardingListener: ForwardingListener;
  readonly #confirmations: Confirmations;
  /** Aborted as the gateway begins to stop. */
  readonly #stopping = new AbortController();
  readonly #ports: PortOpener;
  #isRelay = false;
  #stopped: Promise<void> | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { build, settings, adapter, timers, wallClock, log } = options;
    this.#ports = new PortOpener({ timers, log, stopped: this.#stopping.signal });
    this.#suspensionAwareTimers = suspensionAwareTimers(timers, wallClock);
    this.#steadyClock = steadyWallClock(timers, wallClock());
    this.#fleet = new FleetView(
      settings.retryBudget,
      (service, budget) => this.#retryBudgets.recordBudgetCreated(service, budget),
      settings.decisions,
      settings.bounds.drainMs,
      () => this.#suspensionAwareTimers.nowMs(),
    );
    this.#retryBudgets = new RetryBudgetReporter({
      fleet: this.#fleet,
      timers,
      log,
      metrics: this.#metrics,
    });
    this.#roster = new PeerRoster({ name: settings.name, zone: settings.zone });
    this.#departures = new DepartureGossip({
      roster: this.#roster,
      isRelay: () => this.#isRelay,
      hasRelay: () => this.#digest.isFresh,
      random: Math.random,
      send: (peers, message) => this.#peers?.sendDepartures(peers, message),
      timers: this.#suspensionAwareTimers,
    });
    this.#digest = new RelayDigest(
      this.#suspensionAwareTimers,
      maxDigestAgeMs(settings.bounds.contactMs),
      settings.bounds.drainMs === undefined
        ? undefined
        : maxDigestSilenceMs(settings.bounds.drainMs),
    );
    this.#datagramDelays = new DatagramDelays({
      lateMs: lateDatagramMs(settings.bounds.drainMs ?? Number.POSITIVE_INFINITY),
      timers,
      metrics: this.#metrics,
      log,
    });
    const memory = new MemoryLedger(
      requestMemoryLimits(readHeap().limitBytes, machineBytes(settings)),
    );
    this.#connections = new BackendConnections(timers, memory);
    this.#admission = new AdmissionGate({
      isOn: settings.decisions.waiting,
      timers,
      log,
      metrics: this.#metrics,
    });
    this.#comparison = new PathComparison({
      connections: this.#connections,
      readyOf: (service) => this.#fleet.directory.readyOf(service),
      random: Math.random,
    });
    this.#exitCheck = new ServerExitCheck({
      connections: this.#connections,
      isSuperseded: (server) => this.#fleet.directory.isSuperseded(server),
      comparison: this.#comparison,
      timers,
    });
    const incarnation = randomInt(INCARNATION_LIMIT);
    this.#crashes = this.#createCrashGuard(incarnation);
    const webWork = new WebWork({
      isEnabled: settings.decisions.webServerLoad,
      fleet: this.#fleet,
      roster: this.#roster,
      peers: () => this.#peers,
      timers,
      log,
    });
    this.#webWork = webWork;
    this.#limits = this.#createLimits();
    this.#streams = this.#createStreams();
    this.#paths = new ServicePathMonitor({
      fleet: this.#fleet,
      connections: this.#connections,
      timers,
      log,
    });
    this.#stalls = new StallMonitor({
      minStallMs: maxStallMs(settings.bounds.drainMs ?? Number.POSITIVE_INFINITY),
      recover: async () => {
        await this.#follower.readServersAgain(MAX_RECOVERY_MS);
      },
      processorMs,
      timers: this.#suspensionAwareTimers,
      steadyClock: timers,
      log,
    });
    this.#resources = this.#createResourceMonitor();
    this.#departureReports = new DepartureReports({
      build,
      drainMs: settings.bounds.drainMs,
      fleet: this.#fleet,
      relayName: () => this.#digest.relayName,
      timers: this.#suspensionAwareTimers,
      metrics: this.#metrics,
      log,
    });
    const calls = new ServerCalls({
      reports: this.#departureReports,
      stalls: this.#stalls,
      connections: this.#connections,
      paths: this.#paths,
      fleet: this.#fleet,
      codec: adapter.requests,
      timers,
      wallClock: this.#steadyClock,
      metrics: this.#metrics,
      log,
      onLimitChange: (server, change, purpose) =>
        this.#limits.recordReportedLimit(server, change, purpose),
    });
    const handleServersChanged = () => {
      this.#streams.handleServersChanged();
      this.#admission.wake();
    };
    this.#confirmations = new Confirmations({
      calls,
      fleet: this.#fleet,
      codec: adapter.requests,
      rowExpiryMs: rowExpiryMs(settings.bounds.contactMs),
      onConfirmed: handleServersChanged,
      random: Math.random,
      timers: this.#suspensionAwareTimers,
      log,
    });
    const context: AttemptContext = {
      fleet: this.#fleet,
      calls,
      limits: this.#limits,
      codec: adapter.requests,
      admission: this.#admission,
      forwarding: new RequestForwarder({
        daemon: settings.name,
        zone: settings.zone,
        connections: this.#connections,
        paths: this.#paths,
        roster: this.#roster,
        codec: adapter.requests,
        fleetKey: () => this.#crashes.fleetKey,
        metrics: this.#metrics,
        fleet: this.#fleet,
        wallClock: this.#steadyClock,
      }),
      zone: settings.zone,
      isSpreading: settings.decisions.spreading,
      onLoadChange: () => this.#peers?.scheduleReport(),
      advertiseRead: (read) => this.#peers?.advertiseRead(read),
      advertiseUnreachable: (server) =>
        runInBackground(log, 'compare paths', this.#advertiseUnreachable(server)),
      advertiseReachable: ({ id: serverId }) =>
        this.#peers?.advertiseReachability({ serverId, isReachable: true }),
      crashes: this.#crashes,
      webWork,
      streams: this.#streams,
      mayHaveCrashed: (server) => this.#mayHaveCrashed(server),
      streamWaits: new StreamWaits(),
      recordRunStart: ({ options: { tenant } }, agoMs) =>
        this.#duties.recordRunStart(tenant, agoMs),
    };
    this.#callers = new CallerListener({
      context,
      timers,
      log,
      metrics: this.#metrics,
      memory,
      descriptors: settings.limits?.descriptors,
      resources: this.#resources,
      refusals: new CallerRefusals({ timers, metrics: this.#metrics, log }),
      paths: this.#paths,
      configurationCheckAgeMs: () => this.#follower.configurationCheckAgeMs(),
      inForceForMs: () => this.#follower.inForceForMs(),
    });
    this.#forwardingListener = new ForwardingListener({
      callers: this.#callers,
      fleetKey: () => this.#crashes.fleetKey,
      log,
    });
    this.#duties = this.#createDuties(incarnation);
    this.#peers = this.#createPeers(incarnation);
    const duty = new RosterCacheEventDuty({
      roster: this.#roster,
      fleet: this.#fleet,
      peers: this.#peers,
      timers,
    });
    this.#cacheEventWatchers = new CacheEventWatchers({ ...context, timers, duty, log });
    this.#follower = new FleetFollower({
      adapter,
      fleet: this.#fleet,
      cacheEventWatchers: this.#cacheEventWatchers,
      timing: () => watchTiming(this.#watchRole, settings.bounds.contactMs),
      recheckSpans: recheckSpans(settings.bounds.contactMs),
      maxAnswerGapMs: maxAnswerGapMs(settings.bounds.contactMs),
      restored: new RestoredServers(settings.bounds.contactMs),
      random: Math.random,
      digest: this.#digest,
      forwardConfiguration: (changes) => this.#peers?.forwardConfiguration(changes),
      forwardServers: (changes) => this.#peers?.forwardServers(changes),
      recordDeparture: (departure) => this.#recordDeparture(departure),
      awaitConfirmation: (departure) =>
        runInBackground(log, 'confirm a server', this.#confirmations.confirm(departure)),
      declinesWork: (server) => this.#confirmations.declinesWork(server),
      advertiseDepartures: (departures) => this.#departures.advertise(departures),
      recordServerStart: (server) => this.#crashes.recordServerStart(server),
      handleStoreRestored: () => this.#handleStoreRestored(),
      timers: this.#suspensionAwareTimers,
      wallClock,
      log,
      applyLimits: (limits) => this.#callers.applyLimits(limits),
      onConfigurationChanged: () => this.#streams.handleConfigurationChanged(),
      onServersChanged: handleServersChanged,
    });
    this.#stages = new StageController({
      daemon: settings.name,
      incarnation,
      leaseMs: settings.bounds.leaseMs,
      fleet: this.#fleet,
      table: adapter.table,
      calls,
      codec: adapter.requests,
      mayOrder: () => this.#knowsDemand,
      startingEngines: (service) => this.#duties.startingServers(service),
      broadcastStage: (notice) => this.#peers?.broadcastStage(notice),
      timers,
      leaseTimers: this.#suspensionAwareTimers,
      log,
    });
    addGauges(this.#metrics, {
      build,
      fleet: this.#fleet,
      follower: this.#follower,
      callers: this.#callers,
      memory,
      connections: this.#connections,
      admission: this.#admission,
      limits: this.#limits,
      crashes: this.#crashes,
      paths: this.#paths,
      streams: this.#streams,
      duties: () => this.#duties,
      webWork,
      datagramDelays: this.#datagramDelays,
      resources: this.#resources,
      timers,
      log,
    });
  }

  /**
   * Starts to follow the store and to listen. Ports that are taken are waited for; without those for metrics and for peers
   * callers are served all the same.
   * @returns the ports it listens on; undefined if it was stopped before it listened for callers and readiness checks
   */
  async start(): Promise<GatewayAddresses | undefined> {
    const { settings, adapter, log } = this.#options;
    const { callers, readiness } = settings.listen;
    this.#stalls.start();
    this.#resources.start();
    this.#follower.start();
    this.#crashes.start();
    this.#stages.start();
    const forwardPort = await this.#startPeers();
    this.#duties.start();
    this.#retryBudgets.start();
    const readinessServer = createReadinessServer(adapter.readinessPath, () => this.#isReady);
    const [callersPort, readinessPort] = await Promise.all([
      this.#open('callers', this.#callers.server, callers),
      this.#open('readiness', readinessServer, readiness),
      this.#openMetrics(),
    ]);
    if (callersPort === undefined || readinessPort === undefined || this.#isStopping) {
      return undefined;
    }
    log.write(GATEWAY_EVENTS.started, {
      build: this.#options.build,
      daemon: settings.name,
      zone: settings.zone,
      callers: `${callers.host}:${callers.port}`,
      readiness: `${readiness.host}:${readiness.port}`,
    });
    return { callersPort, readinessPort, forwardPort };
  }

  /** Compares re-read settings with those in use and logs whether a restart is needed; none is applied before. */
  reload(settings: GatewaySettings): void {
    const { log } = this.#options;
    const needsRestart = JSON.stringify(settings) !== JSON.stringify(this.#options.settings);
    log.write(GATEWAY_EVENTS.settingsReloaded, { needsRestart });
  }

  /** Stops without cutting off requests that can end within the grace period. A second call waits for the same stop. */
  stop(): Promise<void> {
    this.#stopped ??= this.#isStopping ? Promise.resolve() : this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    this.#stopping.abort();
    const { settings, adapter, timers, log } = this.#options;
    const stop = new GatewayStop({
      graceMs: settings.bounds.stopGraceSeconds * MILLISECONDS_PER_SECOND,
      signalAgeMs: this.#stalls.lateMs(),
      callers: this.#callers,
      codec: adapter.requests,
      timers,
      log,
      metrics: this.#metrics,
    });
    this.#callers.beginStop(stop.times);
    this.#admission.beginStop();
    this.#limits.beginStop();
    this.#stages.stop();
    await stop.waitForRequests();
    await stop.endRequests();
    stop.logEnd();
    this.abort();
    log.flush();
  }

  /** Stops at once and cuts off running requests. */
  abort(): void {
    this.#stopping.abort();
    this.#stalls.stop();
    this.#resources.stop();
    this.#follower.stop();
    this.#confirmations.stop();
    this.#crashes.stop();
    this.#cacheEventWatchers.stop();
    this.#stages.stop();
    this.#peers?.stop();
    this.#duties.stop();
    this.#retryBudgets.stop();
    this.#limits.stop();
    this.#streams.stop();
    this.#paths.stop();
    this.#callers.breakOff();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#connections.close();
  }

  get #isStopping(): boolean {
    return this.#stopping.signal.aborted;
  }

  get #isReady(): boolean {
    const isServing = this.#callers.server.listening && !this.#isStopping;
    return isServing && this.#fleet.isReady && this.#crashes.isReadyToServe;
  }

  #open(listener: ListenerName, server: Server, endpoint: Endpoint): Promise<number | undefined> {
    return this.#ports.open(listener, () => this.#tryListen(server, endpoint));
  }

  async #openMetrics(): Promise<void> {
    const { metrics } = this.#options.settings.listen;
    if (metrics === undefined) return;
    const server = createMetricsServer(this.#metrics);
    const attempt = () => this.#tryListen(server, metrics);
    await this.#ports.openInBackground('metrics', attempt, () => undefined);
  }

  /** @returns the port for forwarded requests; undefined if there is none or it is still taken */
  async #startPeers(): Promise<number | undefined> {
    const { peers } = this.#options.settings.listen;
    if (peers === undefined || this.#peers === undefined) return undefined;
    const exchange = this.#peers;
    const attempt = () => this.#tryListen(this.#forwardingListener.server, peers);
    const port = await this.#ports.openInBackground('peers', attempt, (opened) =>
      exchange.setForwardPort(opened),
    );
    exchange.start(port);
    return port;
  }

  async #tryListen(server: Server, endpoint: Endpoint): Promise<Result<number, Error>> {
    const result = await tryListen(server, endpoint);
    if (result.isErr()) return result;
    // The gateway may have been stopped while the port was being opened.
    if (this.#isStopping) server.close();
    else this.#servers.push(server);
    return result;
  }

  /** Whether the demand of the whole fleet is known; a daemon without an address for peers is taken to be alone. */
  get #knowsDemand(): boolean {
    return this.#peers === undefined || this.#roster.knowsFleetDemand(this.#isRelay);
  }

  #createResourceMonitor(): ResourceMonitor {
    const { timers, log } = this.#options;
    return new ResourceMonitor({
      readHeap,
      holders: () => ({
        requestsInFlight: this.#callers.inFlight,
        bodyBytes: this.#callers.heldBodies.bytes,
        answerBytes: this.#connections.held.bytes,
        answerObjects: this.#connections.held.objects,
        streamRecords: this.#streams.recordCount,
        cachedParts: this.#fleet.prefixIndex.size,
      }),
      timers,
      log,
    });
  }

  #createLimits(): LimitCoordinator {
    const { settings, timers, log } = this.#options;
    return new LimitCoordinator({
      daemon: settings.name,
      fleet: this.#fleet,
      roster: settings.listen.peers === undefined ? undefined : this.#roster,
      send: (peers, message) => this.#peers?.sendMessage(peers, message),
      timers,
      random: Math.random,
      log,
      metrics: this.#metrics,
    });
  }

  #createStreams(): StreamContinuity {
    const { settings, timers, log } = this.#options;
    return new StreamContinuity({
      daemon: settings.name,
      zone: settings.zone,
      fleet: this.#fleet,
      roster: settings.listen.peers === undefined ? undefined : this.#roster,
      send: (peers, message) => this.#peers?.sendMessage(peers, message),
      readServers: (limitMs) => this.#follower.readServersAgain(limitMs),
      serversFollowedMs: () => this.#follower.serversFollowedMs(),
      timers,
      log,
      metrics: this.#metrics,
    });
  }

  #createCrashGuard(incarnation: number): CrashGuard {
    const { settings, adapter, timers, log } = this.#options;
    return new CrashGuard({
      table: adapter.table,
      exitCheck: this.#exitCheck,
      isReady: (server) => this.#fleet.wasReady(server, timers.nowMs()),
      roster: this.#roster,
      peers: () => this.#peers,
      initialPeerIndex: incarnation,
      contactMs: settings.bounds.contactMs,
      timers,
      wallClock: this.#steadyClock,
      log,
    });
  }

  #createDuties(incarnation: number): Duties {
    const { settings, adapter, timers, log } = this.#options;
    return new Duties({
      settings,
      adapter,
      incarnation,
      fleet: this.#fleet,
      roster: this.#roster,
      peers: () => this.#peers,
      mayOrderCapacity: () => this.#roster.knowsFleetDemand(this.#isRelay),
      timers,
      leaseTimers: this.#suspensionAwareTimers,
      log,
    });
  }

  #createPeers(incarnation: number): PeerExchange | undefined {
    const { settings, adapter, timers, log } = this.#options;
    if (settings.listen.peers === undefined) return undefined;
    return new PeerExchange({
      daemon: settings.name,
      zone: settings.zone,
      incarnation,
      listen: settings.listen.peers,
      table: adapter.table,
      roster: this.#roster,
      datingTimers: this.#suspensionAwareTimers,
      delays: this.#datagramDelays,
      log,
      handleReachability: (notice) => this.#handleReachability(notice),
      handleRead: (read) => this.#fleet.handleRead(read, timers.nowMs()),
      onRelayChange: (isRelay) => this.#setRelay(isRelay),
      tableDigest: () => this.#follower.digestToSend(),
      applyConfiguration: (change) => this.#follower.applyForwardedConfiguration(change),
      configurationVersion: () => this.#follower.inForceVersion,
      recordPeerVersion: (version, daemon) => this.#follower.recordPeerVersion(version, daemon),
      applyServers: (changes, sentAfterMs) =>
        this.#follower.applyServerChanges(changes, sentAfterMs),
      handleDepartures: (message, sentAfterMs) =>
        this.#follower.applyDepartureNotices(this.#departures.noticesIn(message, sentAfterMs)),
      handleTableDigest: (digest, relay, sentAfterMs) =>
        this.#digest.apply(digest, relay, sentAfterMs),
      relayPeersChecksum: () => this.#digest.peersChecksum,
      handleStageNotice: (notice) => this.#fleet.stageNotices.apply(notice, timers.nowMs()),
      handleCrashRecords: (records) => this.#crashes.applyPeerRecords(records),
      handleUsage: (message, reply) => this.#duties.handleUsage(message, reply),
      handleLimitMessage: (message, reply) => this.#limits.handleMessage(message, reply),
      handleStreamMessage: (message, reply) => this.#streams.handleMessage(message, reply),
      applyCacheEvents: (events) => this.#fleet.applyCacheEvents(events, timers.nowMs()),
      loads: this.#fleet.peerLoads,
      paces: this.#fleet.paces,
      isReady: () => this.#fleet.isReady,
      timers,
      ownWork: () => [...this.#fleet.ownWork(timers.nowMs()), ...this.#webWork.ownLoad()],
      ownDemand: () => this.#fleet.demand.own(timers.nowMs()),
      serverIdOf: (shortId) => this.#fleet.directory.idOf(shortId),
      onSums: () => this.#admission.wake(),
      recordDaemonCount: (daemons) => this.#setDaemonCount(daemons),
    });
  }

  #setDaemonCount(daemons: number): void {
    const before = this.#fleet.size.listed;
    this.#fleet.setDaemonCount(daemons);
    this.#retryBudgets.recordDaemonCount(before, daemons);
  }

  /** Applies another daemon's notice on a server; logs it if it changes whether the server counts as reachable. */
  #handleReachability(notice: ReachabilityNotice): void {
    const { timers, log } = this.#options;
    const nowMs = timers.nowMs();
    const { serverId: server, by } = notice;
    const wasUnreachable = this.#fleet.isUnreachable(server, nowMs);
    this.#fleet.handleReachability(notice, nowMs);
    const isUnreachable = this.#fleet.isUnreachable(server, nowMs);
    if (isUnreachable === wasUnreachable) return;
    log.write(isUnreachable ? GATEWAY_EVENTS.serverDark : GATEWAY_EVENTS.serverReached, {
      server,
      by,
    });
  }

  /** A server that drains serves on until its answers are complete, so its exit shows no crash. */
  async #mayHaveCrashed(server: ServerRecord): Promise<boolean> {
    const isDeparting = this.#fleet.departures.of(server.id) !== undefined;
    return !isDeparting && (await this.#exitCheck.mayHaveEnded(server));
  }

  /** A daemon that reaches no other server either is cut off itself, and its notices would mislead the others. */
  async #advertiseUnreachable(server: ServerRecord): Promise<void> {
    const isServerAtFault = await this.#comparison.reachesOthers(server);
    if (!isServerAtFault || this.#isStopping) return;
    this.#peers?.advertiseReachability({ serverId: server.id, isReachable: false });
  }

  /** After the store was restored from a copy, rows that this daemon wrote may be missing. */
  #handleStoreRestored(): void {
    this.#crashes.handleStoreRestored();
    this.#peers?.handleStoreRestored();
  }

  #recordDeparture(departure: Departure): void {
    const { source, learnedAtMs, changedAfterMs } = departure;
    this.#metrics.recordDeparture(source, learnedAtMs - changedAfterMs);
    this.#departureReports.reportDeparture(departure);
  }

  get #watchRole(): WatchRole {
    if (this.#isRelay) return 'relay';
    return this.#roster.isLarge ? 'follower' : 'alone';
  }

  #setRelay(isRelay: boolean): void {
    this.#isRelay = isRelay;
    if (isRelay) this.#digest.drop();
  }
}

/** The memory that this process may take. */
function machineBytes({ limits }: GatewaySettings): number {
  const memoryMb = limits?.memoryMb;
  return memoryMb === undefined ? totalmem() : memoryMb * BYTES_PER_MEGABYTE;
}
