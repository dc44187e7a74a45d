/**
 * Injects the faults of a plan, one method per fault, and records what each fault disturbs and when: the oracle judges
 * promises that hold only without disturbances by these records.
 */
import { type Callers, USUAL_LEAVING_SHARE } from './callers.js';
import type { Operator } from './configuration.js';
import type { CrowdFault } from './crowd-fault.js';
import type { Crowds } from './crowds.js';
import type { DaemonLinks } from './daemon-links.js';
import type { DatagramLink } from './datagram-link.js';
import type { DutyService } from './duty-service.js';
import { strikeEngines } from './engine-faults.js';
import type { GatewayProcess } from './gateway-process.js';
import type { StartedAs } from './model-server.js';
import { pause } from './pause.js';
import { COPY_LEAD_MS, type Fault, STALE_GAP_MS } from './plan.js';
import type { PlatformStore, StoreEndpoint } from './platform-store.js';
import type { EndCause } from './process-end.js';
import type {
  CutRecord,
  Disturbance,
  DrainNotice,
  FalseReadiness,
  LimitNotice,
  Scope,
  SkewRecord,
  SoakBounds,
} from './record.js';
import { ENTRY_LAPSE_MS, type PooledServer, type ServerPool } from './server-pool.js';
import { START_MS, StartFaults } from './start-faults.js';

const RESUME_MS = 1_000;
/** Time from the end of a crowd until its daemon has worked off what it sent. */
const CROWD_AFTERMATH_MS = 5_000;
const RESTART_MS = 2_500;
/** Of the servers that crash under a request, every third restarts at once, the others after `RESTART_MS`. */
const QUICK_RESTART_EVERY = 3;
const DRAIN_LINGER_MS = 3_000;
const ROLLING_START_MS = 400;

/** The parts of a run that faults act on. */
export interface SoakEnvironment {
  readonly bounds: SoakBounds;
  readonly store: PlatformStore;
  readonly dutyService: DutyService;
  readonly pool: ServerPool;
  readonly operator: Operator;
  readonly daemons: readonly GatewayProcess[];
  readonly storeEndpointOf: ReadonlyMap<string, StoreEndpoint>;
  readonly callers: Callers;
  readonly crowds: Crowds;
  /** Undefined if the plan cuts no daemon off. */
  readonly daemonLinks: DaemonLinks | undefined;
  /** The ways of datagrams to the daemons, in their order; empty if the plan does not delay datagrams. */
  readonly datagramLinks: readonly DatagramLink[];
}

/** Servers that mishandle a share of their requests. */
interface ServersFault extends Omit<Extract<Fault, { kind: 'servers' }>, 'kind'> {
  /** The back-off period that servers request if `how` is `ask-for-rest`. */
  readonly restMs?: number;
}

/** Injects faults into a run until `end` is called. */
export class FaultInjector {
  readonly disturbances: Disturbance[] = [];
  readonly drains: DrainNotice[] = [];
  readonly limits: LimitNotice[] = [];
  readonly cuts: CutRecord[] = [];
  readonly skews: SkewRecord[] = [];
  readonly #world: SoakEnvironment;
  readonly #starts: StartFaults;
  #isEnded = false;
  #crashesUnderRequests = 0;

  constructor(world: SoakEnvironment) {
    this.#world = world;
    this.#starts = new StartFaults({
      daemons: world.daemons,
      graceMs: world.bounds.graceMs,
      start: (daemon) => this.#restart(daemon),
      record: (disturbance) => this.disturbances.push(disturbance),
    });
  }

  get falseReadiness(): readonly FalseReadiness[] {
    return this.#starts.falseReadiness;
  }

  /** Records a span in which the soak's own process, which simulates the store and the servers, did not respond. */
  recordStandInsLate(fromMs: number, toMs: number): void {
    this.disturbances.push({ scope: 'stand-ins', name: '', fromMs, toMs, isPlanned: false });
  }

  /** From this call on, faults start no process and no server, and no new fault begins. */
  end(): void {
    this.#isEnded = true;
  }

  async begin(fault: Fault): Promise<void> {
    if (this.#isEnded) return;
    switch (fault.kind) {
      case 'kill':
        return this.#kill(this.#daemonsAt(fault.daemons), fault.downMs);
      case 'stop':
        return this.#stopInTurn(this.#daemonsAt(fault.daemons), fault.gapMs);
      case 'freeze':
        return this.#freeze(this.#daemonsAt(fault.daemons), fault.forMs);
      case 'reload':
        for (const daemon of this.#daemonsAt(fault.daemons)) daemon.signal('SIGHUP');
        return;
      case 'signals':
      case 'young-signals':
      case 'stop-again':
      case 'ports-taken':
      case 'settings-spoiled':
        return this.#starts.begin(fault);
      case 'pace':
      case 'queue':
      case 'late-first-tokens':
        return strikeEngines(
          this.#serversAt(fault.servers).map(({ server }) => server),
          fault,
        );
      case 'crowd':
        return this.#sendCrowd(fault);
      case 'store-slow':
        this.#world.store.faults.delayMs = fault.delayMs;
        await this.#disturbStore(fault.forMs);
        this.#world.store.faults.delayMs = 0;
        return;
      case 'store-down':
        this.#world.store.refusal = fault.how;
        await this.#disturbStore(fault.forMs);
        this.#world.store.refusal = undefined;
        return;
      case 'store-refuses':
        return this.#refuseDaemons(fault);
      case 'store-loses-answers':
        this.#world.store.faults.lostAnswers = fault.share;
        await this.#disturbStore(fault.forMs);
        this.#world.store.faults.lostAnswers = 0;
        return;
      case 'store-writes-late':
        this.#world.store.faults.lateWrites = fault.share;
        await this.#disturbStore(fault.forMs);
        this.#world.store.faults.lateWrites = 0;
        return;
      case 'store-forgets':
        this.#disturb('store', '', 0);
        this.#world.store.dropHistory();
        return;
      case 'store-stale':
        return this.#serveStaleReads(fault);
      case 'store-copy':
        return this.#restoreStore(fault);
      case 'entries-lapse':
        return this.#lapseEntries(fault.forMs);
      case 'servers':
        return this.#injectServersFault(fault);
      case 'skew':
        return this.#skew(fault);
      case 'crash':
        await Promise.all(
          this.#serversAt(fault.servers).map((s) => this.#crash(s, fault.downMs, 'other')),
        );
        return;
      case 'restart':
        await Promise.all(
          this.#serversAt(fault.servers).map((s) => this.#crash(s, fault.downMs, 'same')),
        );
        return;
      case 'stray-rows':
        this.#world.pool.listStrays();
        await pause(fault.forMs);
        this.#world.pool.unlistStrays();
        return;
      case 'rests':
        return this.#injectServersFault({ ...fault, how: 'ask-for-rest' });
      case 'limits':
        await Promise.all(this.#serversAt(fault.servers).map((s) => this.#limit(s, fault)));
        return;
      case 'drain':
        return this.#drain(this.#serversAt([fault.server])[0], fault.listedAfterMs);
      case 'departures':
        return this.#depart(fault);
      case 'list-churn':
        return this.#churnList(fault);
      case 'release':
        return this.#release(fault);
      case 'link':
        return this.#disturbLinks(fault);
      case 'cut':
        return this.#cut(fault);
      case 'late-datagrams':
        return this.#delayDatagrams(fault);
      case 'duties':
        this.#world.dutyService.fault = fault.how;
        await pause(fault.forMs);
        this.#world.dutyService.fault = undefined;
        return;
      case 'change':
        this.#world.operator.change(fault.change);
        return;
      case 'burst':
        this.#world.callers.factor = fault.factor;
        await pause(fault.forMs);
        this.#world.callers.factor = 1;
        return;
      case 'callers-leave':
        this.#world.callers.leavingShare = fault.share;
        await pause(fault.forMs);
        this.#world.callers.leavingShare = USUAL_LEAVING_SHARE;
        return;
    }
  }

  /** Late datagrams disturb nobody: the store is well, and so is each daemon's path to it. */
  async #delayDatagrams(fault: Extract<Fault, { kind: 'late-datagrams' }>): Promise<void> {
    const links = fault.daemons.flatMap((index) => this.#world.datagramLinks[index] ?? []);
    for (const link of links) link.begin(fault);
    await pause(fault.forMs);
    for (const link of links) link.end();
  }

  async #skew({ daemon, share, forMs }: Extract<Fault, { kind: 'skew' }>): Promise<void> {
    const [preferred] = this.#daemonsAt([daemon]);
    if (preferred === undefined) return;
    const fromMs = performance.now();
    this.#world.callers.skew = { daemon: preferred.name, share };
    await pause(forMs);
    this.#world.callers.skew = undefined;
    this.skews.push({ daemon: preferred.name, fromMs, toMs: performance.now() });
  }

  #daemonsAt(indexes: readonly number[]): readonly GatewayProcess[] {
    return indexes.flatMap((index) => this.#world.daemons[index] ?? []);
  }

  #serversAt(indexes: readonly number[]): readonly PooledServer[] {
    return indexes.flatMap((index) => this.#world.pool.servers[index] ?? []);
  }

  #disturb(scope: Scope, name: string, forMs: number, isPlanned = false): void {
    const fromMs = performance.now();
    this.disturbances.push({ scope, name, fromMs, toMs: fromMs + forMs, isPlanned });
  }

  async #disturbStore(forMs: number): Promise<void> {
    this.#disturb('store', '', forMs);
    await pause(forMs);
  }

  async #sendCrowd(fault: CrowdFault): Promise<void> {
    const daemons = this.#daemonsAt(fault.daemons);
    for (const { name } of daemons) this.#disturb('daemon', name, fault.forMs + CROWD_AFTERMATH_MS);
    await this.#world.crowds.send(fault, daemons);
  }

  async #kill(daemons: readonly GatewayProcess[], downMs: number): Promise<void> {
    for (const daemon of daemons) {
      this.#disturb('daemon', daemon.name, downMs + START_MS);
      daemon.signal('SIGKILL');
    }
    await pause(downMs);
    for (const daemon of daemons) this.#restart(daemon);
  }

  #restart(daemon: GatewayProcess): void {
    if (!this.#isEnded) daemon.start();
  }

  /** Starts a daemon again whose process ended unasked. By the rules a process that ends by itself excuses nothing. */
  async restartEnded(daemon: GatewayProcess, cause: EndCause): Promise<void> {
    if (cause === 'before-code') this.#disturb('daemon', daemon.name, ROLLING_START_MS + START_MS);
    await pause(ROLLING_START_MS);
    this.#restart(daemon);
  }

  async #stopInTurn(daemons: readonly GatewayProcess[], gapMs: number): Promise<void> {
    for (const daemon of daemons) {
      if (!daemon.isRunning || daemon.isFrozen || daemon.isStopping) continue;
      this.#disturb('daemon', daemon.name, this.#world.bounds.graceMs + START_MS, true);
      daemon.signal('SIGTERM');
      const killTimer = setTimeout(() => daemon.signal('SIGKILL'), this.#world.bounds.graceMs);
      void daemon
        .ended()
        .then(() => clearTimeout(killTimer))
        .then(() => pause(ROLLING_START_MS))
        .then(() => this.#restart(daemon));
      await pause(gapMs);
    }
  }

  async #freeze(daemons: readonly GatewayProcess[], forMs: number): Promise<void> {
    for (const daemon of daemons) {
      this.#disturb('daemon', daemon.name, forMs + RESUME_MS);
      this.#disturb('frozen', daemon.name, forMs);
      daemon.signal('SIGSTOP');
    }
    await pause(forMs);
    for (const daemon of daemons) daemon.signal('SIGCONT');
  }

  async #refuseDaemons(fault: Extract<Fault, { kind: 'store-refuses' }>): Promise<void> {
    const daemons = this.#daemonsAt(fault.daemons);
    const endpoints = daemons.flatMap(({ name }) => this.#world.storeEndpointOf.get(name) ?? []);
    for (const { name } of daemons) this.#disturb('daemon', name, fault.forMs);
    for (const endpoint of endpoints) endpoint.refusal = fault.how;
    await pause(fault.forMs);
    for (const endpoint of endpoints) endpoint.refusal = undefined;
  }

  async #serveStaleReads({
    behindMs,
    isUnderNewest,
    forMs,
  }: Extract<Fault, { kind: 'store-stale' }>): Promise<void> {
    const { store } = this.#world;
    this.#disturb('store', '', STALE_GAP_MS + forMs);
    store.faults.withholdsChanges = true;
    await pause(STALE_GAP_MS);
    store.faults.withholdsChanges = false;
    store.dropHistory();
    store.faults.stale = { behindMs, isUnderNewest };
    await pause(forMs);
    store.faults.stale = undefined;
  }

  async #restoreStore({
    how,
    forMs,
    behindMs,
    lostRevisions,
    keepsHeldCalls,
    rewriteMs,
  }: Extract<Fault, { kind: 'store-copy' }>): Promise<void> {
    const { store, operator, pool } = this.#world;
    store.skipVersions(lostRevisions);
    operator.change('idle');
    await pause(COPY_LEAD_MS);
    store.refusal = how;
    await this.#disturbStore(forMs);
    store.restore(forMs + behindMs, keepsHeldCalls);
    store.refusal = undefined;
    const writers = [() => operator.rewriteNewest(), ...pool.rewriteSteps()];
    for (const write of writers) {
      write();
      await pause(rewriteMs / writers.length);
    }
  }

  async #lapseEntries(forMs: number): Promise<void> {
    this.#disturb('store', '', forMs);
    for (const { server } of this.#world.pool.servers) this.#world.pool.unlist(server.id);
    await pause(forMs);
    for (const listed of this.#world.pool.servers)
      if (listed.server.isUp) this.#world.pool.list(listed);
  }

  async #injectServersFault(fault: ServersFault): Promise<void> {
    const servers = this.#serversAt(fault.servers).map(({ server }) => server);
    for (const server of servers) {
      server.fault = { how: fault.how, share: fault.share, restMs: fault.restMs ?? 0 };
      // Surplus bytes after a response may close connections that other requests use.
      if (fault.how === 'answer-twice') this.#disturb('server', server.id, fault.forMs);
    }
    await pause(fault.forMs);
    for (const server of servers) server.fault = undefined;
  }

  async #crash(listed: PooledServer, downMs: number, startedAs: StartedAs): Promise<void> {
    const { server } = listed;
    if (!server.isUp || listed.isLeaving) return;
    const { id: oldId, bornMs } = server;
    this.#disturb('server', oldId, downMs + ENTRY_LAPSE_MS);
    server.crash();
    listed.link.refuse();
    setTimeout(() => {
      const isBack = server.isUp && server.id === oldId && server.bornMs !== bornMs;
      if (!isBack) this.#world.pool.unlist(oldId);
    }, ENTRY_LAPSE_MS);
    await pause(downMs);
    if (this.#isEnded) return;
    await listed.link.open();
    await server.start(startedAs);
    this.#listStarted(listed);
  }

  /**
   * Adds a started server to the list. If the run has ended meanwhile, closes the server: an open listener would keep
   * the process alive.
   */
  #listStarted(listed: PooledServer): void {
    if (this.#isEnded) {
      listed.link.close();
      listed.server.crash();
      return;
    }
    this.#world.pool.list(listed);
  }

  /** Crashes a server under a request and restarts it under the same id, sometimes before any daemon can notice. */
  crashServer(serverId: string): void {
    const listed = this.#world.pool.servers.find(({ server }) => server.id === serverId);
    if (listed === undefined) return;
    this.#crashesUnderRequests += 1;
    const downMs = this.#crashesUnderRequests % QUICK_RESTART_EVERY === 0 ? 0 : RESTART_MS;
    void this.#crash(listed, downMs, 'same');
  }

  /** The server reports a request rate limit for a time, or until it restarts. */
  async #limit(
    { server }: PooledServer,
    { perSecond, laterPerSecond, forMs }: Extract<Fault, { kind: 'limits' }>,
  ): Promise<void> {
    if (!server.isUp || server.limit !== undefined) return;
    const { id: serverId, service, bornMs } = server;
    const isSameBoot = () => server.isUp && server.bornMs === bornMs;
    const fromMs = performance.now();
    const changes = [{ atMs: fromMs, perSecond }];
    const notice: LimitNotice = { serverId, service, fromMs, toMs: fromMs + forMs, changes };
    this.limits.push(notice);
    server.limit = perSecond;
    await pause(forMs / 2);
    if (isSameBoot() && laterPerSecond !== perSecond) {
      server.limit = laterPerSecond;
      changes.push({ atMs: performance.now(), perSecond: laterPerSecond });
    }
    await pause(forMs / 2);
    notice.toMs = performance.now();
    if (isSameBoot()) server.limit = undefined;
  }

  /**
   * The server reports that it leaves: first in its responses, after `listedAfterMs` in its entry as well. It goes on
   * serving for a while, stops, and starts again under a new id.
   */
  async #drain(listed: PooledServer | undefined, listedAfterMs: number): Promise<void> {
    if (listed === undefined || !listed.server.isUp || listed.isLeaving) return;
    const { server } = listed;
    const oldId = server.id;
    server.isLeaving = true;
    // Keeps other faults from crashing the server before it has left.
    listed.isLeaving = true;
    await pause(listedAfterMs);
    listed.isDraining = true;
    server.isDeparting = true;
    this.#world.pool.list(listed);
    this.drains.push({ serverId: oldId, ackMs: performance.now() });
    await this.#serveOnAndReturn(listed, oldId);
  }

  /** The entry of a server goes without a word; the server goes on serving, stops, and starts again under a new id. */
  async #endUnannounced(listed: PooledServer): Promise<void> {
    if (!listed.server.isUp || listed.isLeaving) return;
    const oldId = listed.server.id;
    listed.isLeaving = true;
    listed.server.isDeparting = true;
    this.#world.pool.unlist(oldId);
    this.drains.push({ serverId: oldId, ackMs: performance.now() });
    await this.#serveOnAndReturn(listed, oldId);
  }

  async #serveOnAndReturn(listed: PooledServer, oldId: string): Promise<void> {
    const { server } = listed;
    await pause(this.#world.bounds.drainMs + DRAIN_LINGER_MS);
    this.#disturb('server', oldId, ENTRY_LAPSE_MS);
    this.#world.pool.unlist(oldId);
    server.crash();
    listed.isDraining = false;
    listed.isLeaving = false;
    if (this.#isEnded) return;
    await server.start();
    this.#listStarted(listed);
  }

  async #depart({
    servers,
    unannouncedShare,
    softwareVersion,
    gapMs,
    lateWriteAfterMs,
  }: Extract<Fault, { kind: 'departures' }>): Promise<void> {
    const departing = this.#serversAt(servers);
    const unannounced = Math.round(departing.length * unannouncedShare);
    for (const [index, listed] of departing.entries()) {
      if (this.#isEnded) return;
      listed.server.install(softwareVersion);
      if (index < unannounced) void this.#endUnannounced(listed);
      else void this.#drain(listed, 0);
      if (lateWriteAfterMs !== undefined) void this.#writeLate(listed, lateWriteAfterMs);
      await pause(gapMs);
    }
  }

  /** The store carries out a write late that a server made before it departed; nobody renews the row. */
  async #writeLate(listed: PooledServer, afterMs: number): Promise<void> {
    const { pool } = this.#world;
    const { id } = listed.server;
    await pause(afterMs);
    if (this.#isEnded || listed.server.id !== id) return;
    pool.listAsReady(listed);
    await pause(ENTRY_LAPSE_MS);
    if (listed.server.id === id) pool.unlist(id);
  }

  async #churnList({ everyMs, forMs }: Extract<Fault, { kind: 'list-churn' }>): Promise<void> {
    const { pool } = this.#world;
    const endMs = performance.now() + forMs;
    for (let turn = 0; performance.now() < endMs && !this.#isEnded; turn += 1) {
      pool.rewrite(turn);
      await pause(everyMs);
    }
  }

  async #release({
    servers,
    softwareVersion,
    gapMs,
  }: Extract<Fault, { kind: 'release' }>): Promise<void> {
    for (const listed of this.#serversAt(servers)) {
      if (this.#isEnded) return;
      listed.server.install(softwareVersion);
      void this.#drain(listed, 0);
      await pause(gapMs);
    }
  }

  async #cut({ daemons, how, forMs }: Extract<Fault, { kind: 'cut' }>): Promise<void> {
    const { daemonLinks } = this.#world;
    const names = new Set(this.#daemonsAt(daemons).map(({ name }) => name));
    const fromMs = performance.now();
    for (const daemon of daemons) daemonLinks?.cut(daemon, how);
    await pause(forMs);
    this.cuts.push({ how, daemons: names, fromMs, toMs: performance.now() });
    if (this.#isEnded) return;
    await Promise.all(daemons.map((daemon) => daemonLinks?.restore(daemon)));
  }

  async #disturbLinks(fault: Extract<Fault, { kind: 'link' }>): Promise<void> {
    const listed = this.#serversAt(fault.servers);
    for (const { server, link } of listed) {
      this.#disturb('server', server.id, fault.forMs + this.#world.bounds.contactMs);
      this.#disturb('link', server.id, fault.forMs);
      link.begin(fault.how);
    }
    await pause(fault.forMs);
    for (const { link } of listed) link.end();
  }
}
