/**
 * A soak run: real gateway processes before the stand-ins of the store and the servers, callers, and the faults of a
 * plan; what was seen is judged at the end. It ends only the processes that it has started.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { HEADERS, TABLES } from '../platform/names.js';
import { bundleGateway } from './bundle.js';
import { Callers, HOST } from './callers.js';
import { DutyService } from './duty-service.js';
import { GatewayProcess } from './gateway-process.js';
import { LinkProxy } from './link-proxy.js';
import { ModelServer, type Stage } from './model-server.js';
import type { Mutation } from './mutations.js';
import { type BudgetWindow, judge, type Violation, worstBudgetWindow } from './oracle.js';
import type { Change, Fault, SoakPlan } from './plan.js';
import { PlatformStore } from './platform-store.js';
import type {
  Arrival,
  CallRecord,
  ConfigurationVersion,
  Disturbance,
  DrainNotice,
  OrderRecord,
  RequestClass,
  RunRecord,
  Scope,
  SoakBounds,
} from './record.js';
import { WIRE } from './wire.js';

const ZONES = ['a', 'b', 'c'];
const MODEL = 'model';
/** The route of one class moves between these. */
const WEB_SERVICES = ['web-1', 'web-2'] as const;
const KEYS = [
  { key: 'key-one', tenant: 'one' },
  { key: 'key-two', tenant: 'two' },
];
const REVOCABLE_KEY = { key: 'key-three', tenant: 'three' };
const CLASSES: readonly RequestClass[] = [
  webClass('get', 'idempotent', 2, 0.25),
  // Attempts that its kind forbids: what may run once does so whatever a route allows.
  webClass('post', 'non-idempotent', 2, 0.25),
  {
    name: 'generate',
    pathPrefix: '/generate/',
    kind: 'streaming',
    attempts: 2,
    timeoutMs: 3_000,
    targetLatencyMs: 300,
    share: 0.5,
  },
];
const BOUNDS: Omit<SoakBounds, 'budgetSlack'> = {
  contactMs: 3_000,
  graceMs: 8_000,
  configApplyMs: 2_000,
  drainMs: 2_000,
  lossSlackMs: 200,
  budgetRatio: 0.2,
  budgetWindowMs: 10_000,
};
/** As the users set it: 54 for 7 daemons, 158 for 59, 430 for 195. */
const SLACK_OF_DAEMON = 2.2;
const LEAST_SLACK = 50;
const DRAIN_LINGER_MS = 1_000;
/** Entries of a server that crashed go after three missed heartbeats. */
const ENTRY_LAPSE_MS = 3_600;
const ROLLING_START_MS = 400;
const READY_WITHIN_MS = 30_000;
const LAST_CALLS_MS = 4_000;

/** What came of a run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  readonly refused: number;
  /** Usage reports that the platform has taken. */
  readonly reports: number;
  readonly budgets: readonly BudgetWindow[];
  /** Logs and settings of the daemons; kept where a promise was broken. */
  readonly directory: string;
}

interface ListedServer {
  readonly server: ModelServer;
  readonly link: LinkProxy;
  readonly zone: string;
  isDraining: boolean;
}

/** Plays a plan. */
export async function runSoak(plan: SoakPlan, mutation?: Mutation): Promise<SoakResult> {
  const run = new SoakRun(plan);
  const endRun = () => run.close();
  process.once('exit', endRun);
  try {
    return await run.play(mutation);
  } finally {
    run.close();
    process.removeListener('exit', endRun);
  }
}

class SoakRun {
  readonly #plan: SoakPlan;
  readonly #bounds: SoakBounds;
  readonly #random: () => number;
  readonly #directory = mkdtempSync(join(tmpdir(), 'threadfork-soak-'));
  readonly #store: PlatformStore;
  readonly #servers: ListedServer[] = [];
  readonly #daemons: GatewayProcess[] = [];
  readonly #doorOf = new Map<string, ReturnType<PlatformStore['createDoor']>>();
  readonly #calls = new Map<string, CallRecord>();
  readonly #unasked: string[] = [];
  readonly #disturbances: Disturbance[] = [];
  readonly #configurations: ConfigurationVersion[] = [];
  readonly #drains: DrainNotice[] = [];
  readonly #orders: OrderRecord[] = [];
  readonly #dutyService = new DutyService();
  #callers: Callers | undefined;
  #isRevoked = false;
  #webService: string = WEB_SERVICES[0];
  #isClosed = false;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
    const budgetSlack = Math.max(LEAST_SLACK, plan.size.daemons * SLACK_OF_DAEMON);
    this.#bounds = { ...BOUNDS, budgetSlack };
    const generator = xoroshiro128plus(plan.seed);
    this.#random = () => uniformFloat64(generator);
    this.#store = new PlatformStore(this.#random);
  }

  async play(mutation: Mutation | undefined): Promise<SoakResult> {
    const { seconds, requestsPerSecond } = this.#plan.size;
    const program = await bundleGateway(this.#directory, mutation);
    await this.#startServers();
    this.#changeConfiguration();
    await this.#startDaemons(program);
    const callers = new Callers({
      daemons: this.#daemons,
      classes: CLASSES,
      requestsPerSecond,
      keys: [...KEYS, REVOCABLE_KEY],
      random: this.#random,
      calls: this.#calls,
    });
    this.#callers = callers;
    await this.#allReady();
    callers.start();
    for (const { atMs, fault } of this.#plan.faults) {
      setTimeout(() => void this.#begin(fault), atMs);
    }
    await pause(seconds * 1_000);
    callers.stopSending();
    const endMs = performance.now();
    await pause(LAST_CALLS_MS);
    return this.#result(endMs);
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#callers?.close();
    for (const daemon of this.#daemons) daemon.signal('SIGKILL');
    for (const { server, link } of this.#servers) {
      link.close();
      server.crash();
    }
    this.#store.close();
    this.#dutyService.close();
  }

  #result(endMs: number): SoakResult {
    const run: RunRecord = {
      calls: this.#calls,
      unasked: this.#unasked,
      disturbances: this.#disturbances,
      configurations: this.#configurations,
      drains: this.#drains,
      orders: this.#orders,
      duties: this.#dutyService.records,
      bounds: this.#bounds,
      endMs,
    };
    const ends = [...this.#calls.values()].map(({ end }) => end);
    const withStatus = (status: number) =>
      ends.filter((end) => end?.kind === 'answered' && end.status === status).length;
    const violations = judge(run);
    this.close();
    if (violations.length === 0) rmSync(this.#directory, { recursive: true, force: true });
    return {
      violations,
      calls: ends.length,
      served: withStatus(200),
      refused: withStatus(503),
      reports: this.#dutyService.records.filter(({ isAccepted }) => isAccepted).length,
      budgets: [MODEL, ...WEB_SERVICES].map((service) => worstBudgetWindow(run, service)),
      directory: this.#directory,
    };
  }

  async #startServers(): Promise<void> {
    const { engines, webServers } = this.#plan.size;
    const handles = new Map<string, string>();
    const kinds: readonly { readonly service: string; readonly stage: Stage | undefined }[] = [
      ...Array.from({ length: engines }, (_, index) => ({
        service: MODEL,
        stage: index % 3 === 0 ? ('prefill' as const) : ('decode' as const),
      })),
      ...Array.from({ length: webServers }, (_, index) => ({
        service: WEB_SERVICES[index % WEB_SERVICES.length] ?? WEB_SERVICES[0],
        stage: undefined,
      })),
    ];
    for (const [index, kind] of kinds.entries()) {
      const server: ModelServer = new ModelServer({
        ...kind,
        handles,
        random: this.#random,
        noteStage: () => this.#list(listed),
        observer: {
          arrived: (request, body, arrival) => this.#noteArrival(request, body, arrival),
          ordered: (order) => this.#orders.push(order),
        },
      });
      const link = new LinkProxy(() => server.port);
      const zone = ZONES[index % ZONES.length] ?? '';
      const listed: ListedServer = { server, link, zone, isDraining: false };
      await server.start();
      await link.open();
      this.#servers.push(listed);
      this.#list(listed);
    }
  }

  #list({ server, link, zone, isDraining }: ListedServer): void {
    this.#store.put(TABLES.servers, server.id, {
      service: server.service,
      address: link.address,
      zone,
      slots: 24,
      state: isDraining ? 'draining' : 'ready',
      sequence: 1,
      ...(server.stage === undefined ? {} : { stage: server.stage }),
    });
  }

  async #startDaemons(program: string): Promise<void> {
    // Another block of loopback addresses for each run on a machine.
    const block = 16 + (process.pid % 100);
    const dutyPort = await this.#dutyService.open();
    for (let index = 0; index < this.#plan.size.daemons; index += 1) {
      const door = this.#store.createDoor();
      const zoneIndex = index % ZONES.length;
      const name = `daemon-${ZONES[zoneIndex]}-${index}`;
      this.#doorOf.set(name, door);
      const daemon = new GatewayProcess({
        name,
        zone: ZONES[zoneIndex] ?? '',
        host: `127.${block}.${zoneIndex + 1}.${index + 1}`,
        storePort: await door.open(),
        dutyPort,
        program,
        directory: this.#directory,
        bounds: this.#bounds,
      });
      this.#daemons.push(daemon);
      daemon.start();
    }
  }

  async #allReady(): Promise<void> {
    const untilMs = performance.now() + READY_WITHIN_MS;
    for (const daemon of this.#daemons) {
      while (!(await daemon.isReady())) {
        if (performance.now() > untilMs) {
          const where = `${daemon.host}, log in ${this.#directory}`;
          throw new Error(`${daemon.name} is not ready (${where}): is its address in use?`);
        }
        await pause(50);
      }
    }
  }

  #noteArrival(request: IncomingMessage, body: string, arrival: Arrival): void {
    const { headers } = request;
    const id = String(headers[WIRE.attemptId]);
    const call = this.#calls.get(id);
    if (call === undefined) {
      this.#unasked.push(`${arrival.serverId} got ${id}, which no caller sent`);
      return;
    }
    arrival.problem = problemOf(call, request, body);
    call.arrivals.push(arrival);
  }

  async #begin(fault: Fault): Promise<void> {
    if (this.#isClosed) return;
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
      case 'store-slow':
        this.#store.faults.delayMs = fault.delayMs;
        await this.#disturbStore(fault.forMs);
        this.#store.faults.delayMs = 0;
        return;
      case 'store-down':
        this.#store.refusal = fault.how;
        await this.#disturbStore(fault.forMs);
        this.#store.refusal = undefined;
        return;
      case 'store-refuses':
        return this.#refuseDaemons(fault);
      case 'store-loses-answers':
        this.#store.faults.lostAnswers = fault.share;
        await this.#disturbStore(fault.forMs);
        this.#store.faults.lostAnswers = 0;
        return;
      case 'store-writes-late':
        this.#store.faults.lateWrites = fault.share;
        await this.#disturbStore(fault.forMs);
        this.#store.faults.lateWrites = 0;
        return;
      case 'store-forgets':
        this.#disturb('store', '', 0);
        this.#store.forget();
        return;
      case 'entries-lapse':
        return this.#lapse(fault.forMs);
      case 'servers':
        return this.#spoilServers(fault);
      case 'crash':
        await Promise.all(this.#serversAt(fault.servers).map((s) => this.#crash(s, fault.downMs)));
        return;
      case 'drain':
        return this.#drain(this.#serversAt([fault.server])[0]);
      case 'link':
        return this.#disturbLinks(fault);
      case 'duties':
        this.#dutyService.fault = fault.how;
        await pause(fault.forMs);
        this.#dutyService.fault = undefined;
        return;
      case 'change':
        this.#change(fault.change);
        return;
      case 'burst':
        if (this.#callers !== undefined) this.#callers.factor = fault.factor;
        await pause(fault.forMs);
        if (this.#callers !== undefined) this.#callers.factor = 1;
        return;
      case 'callers-leave':
        if (this.#callers !== undefined) this.#callers.leavingShare = fault.share;
        await pause(fault.forMs);
        if (this.#callers !== undefined) this.#callers.leavingShare = 0;
        return;
    }
  }

  #daemonsAt(indexes: readonly number[]): readonly GatewayProcess[] {
    return indexes.flatMap((index) => this.#daemons[index] ?? []);
  }

  #serversAt(indexes: readonly number[]): readonly ListedServer[] {
    return indexes.flatMap((index) => this.#servers[index] ?? []);
  }

  #disturb(scope: Scope, name: string, forMs: number, isPlanned = false): void {
    const fromMs = performance.now();
    this.#disturbances.push({ scope, name, fromMs, toMs: fromMs + forMs, isPlanned });
  }

  async #disturbStore(forMs: number): Promise<void> {
    this.#disturb('store', '', forMs);
    await pause(forMs);
  }

  async #kill(daemons: readonly GatewayProcess[], downMs: number): Promise<void> {
    for (const daemon of daemons) {
      // Until the successor has listened for a while; a start takes part of a second or more on a full machine.
      this.#disturb('daemon', daemon.name, downMs + 3_000);
      daemon.signal('SIGKILL');
    }
    await pause(downMs);
    for (const daemon of daemons) this.#startAgain(daemon);
  }

  #startAgain(daemon: GatewayProcess): void {
    if (!this.#isClosed) daemon.start();
  }

  async #stopInTurn(daemons: readonly GatewayProcess[], gapMs: number): Promise<void> {
    for (const daemon of daemons) {
      if (!daemon.isRunning || daemon.isFrozen || daemon.isStopping) continue;
      this.#disturb('daemon', daemon.name, this.#bounds.graceMs + 3_000, true);
      daemon.signal('SIGTERM');
      const overdue = setTimeout(() => daemon.signal('SIGKILL'), this.#bounds.graceMs);
      void daemon
        .ended()
        .then(() => clearTimeout(overdue))
        .then(() => pause(ROLLING_START_MS))
        .then(() => this.#startAgain(daemon));
      await pause(gapMs);
    }
  }

  async #freeze(daemons: readonly GatewayProcess[], forMs: number): Promise<void> {
    for (const daemon of daemons) {
      this.#disturb('daemon', daemon.name, forMs + 1_000);
      daemon.signal('SIGSTOP');
    }
    await pause(forMs);
    for (const daemon of daemons) daemon.signal('SIGCONT');
  }

  async #refuseDaemons(fault: Extract<Fault, { kind: 'store-refuses' }>): Promise<void> {
    const daemons = this.#daemonsAt(fault.daemons);
    const doors = daemons.flatMap(({ name }) => this.#doorOf.get(name) ?? []);
    for (const { name } of daemons) this.#disturb('daemon', name, fault.forMs);
    for (const door of doors) door.refusal = fault.how;
    await pause(fault.forMs);
    for (const door of doors) door.refusal = undefined;
  }

  async #lapse(forMs: number): Promise<void> {
    this.#disturb('store', '', forMs);
    for (const { server } of this.#servers) this.#store.remove(TABLES.servers, server.id);
    await pause(forMs);
    for (const listed of this.#servers) if (listed.server.isUp) this.#list(listed);
  }

  async #spoilServers(fault: Extract<Fault, { kind: 'servers' }>): Promise<void> {
    const servers = this.#serversAt(fault.servers).map(({ server }) => server);
    for (const server of servers) {
      server.fault = { how: fault.how, share: fault.share };
      // Surplus bytes and broken answers may end connections that other requests are on.
      if (fault.how === 'answer-twice') this.#disturb('server', server.id, fault.forMs);
    }
    await pause(fault.forMs);
    for (const server of servers) server.fault = undefined;
  }

  async #crash(listed: ListedServer, downMs: number): Promise<void> {
    const { server } = listed;
    if (!server.isUp || listed.isDraining) return;
    const oldId = server.id;
    this.#disturb('server', oldId, downMs + ENTRY_LAPSE_MS);
    server.crash();
    setTimeout(() => this.#store.remove(TABLES.servers, oldId), ENTRY_LAPSE_MS);
    await pause(downMs);
    if (this.#isClosed) return;
    await server.start();
    this.#list(listed);
  }

  /** The server says that it leaves, serves on for a while, and comes back as another. */
  async #drain(listed: ListedServer | undefined): Promise<void> {
    if (listed === undefined || !listed.server.isUp || listed.isDraining) return;
    const { server } = listed;
    const oldId = server.id;
    listed.isDraining = true;
    this.#list(listed);
    this.#drains.push({ serverId: oldId, ackMs: performance.now() });
    await pause(this.#bounds.drainMs + DRAIN_LINGER_MS);
    this.#disturb('server', oldId, ENTRY_LAPSE_MS);
    this.#store.remove(TABLES.servers, oldId);
    server.crash();
    listed.isDraining = false;
    if (this.#isClosed) return;
    await server.start();
    this.#list(listed);
  }

  async #disturbLinks(fault: Extract<Fault, { kind: 'link' }>): Promise<void> {
    const listed = this.#serversAt(fault.servers);
    for (const { server, link } of listed) {
      this.#disturb('server', server.id, fault.forMs + this.#bounds.contactMs);
      link.begin(fault.how);
    }
    await pause(fault.forMs);
    for (const { link } of listed) link.end();
  }

  #change(change: Change): void {
    switch (change) {
      case 'move-route': {
        const [first, second] = WEB_SERVICES;
        this.#webService = this.#webService === first ? second : first;
        break;
      }
      case 'revoke-key':
        this.#isRevoked = !this.#isRevoked;
        break;
      case 'idle':
        break;
    }
    this.#changeConfiguration();
  }

  #changeConfiguration(): void {
    const version = (this.#configurations.at(-1)?.version ?? 0) + 1;
    const serviceOf = new Map(
      CLASSES.map(({ name, kind }) => [name, kind === 'streaming' ? MODEL : this.#webService]),
    );
    const keys = this.#isRevoked ? KEYS : [...KEYS, REVOCABLE_KEY];
    const tenantOfKey = new Map(keys.map(({ key, tenant }) => [key, tenant]));
    this.#store.put(
      TABLES.operator,
      TABLES.configurationKey,
      configurationDocument(version, serviceOf, keys),
    );
    this.#configurations.push({ version, ackMs: performance.now(), serviceOf, tenantOfKey });
  }
}

function webClass(
  name: string,
  kind: RequestClass['kind'],
  attempts: number,
  share: number,
): RequestClass {
  const timing = { timeoutMs: 1_500, targetLatencyMs: 150 };
  return { name, pathPrefix: `/${name}/`, kind, attempts, ...timing, share };
}

function configurationDocument(
  version: number,
  serviceOf: ReadonlyMap<string, string>,
  keys: readonly { readonly key: string; readonly tenant: string }[],
): unknown {
  const engine = {
    slots: 24,
    kvTokens: 400_000,
    kvTokenBytes: 163_840,
    linkMbps: 1_000_000,
    most: 12,
    roleSwitchS: 0.8,
  };
  return {
    version,
    routes: CLASSES.map((requestClass) => ({
      name: requestClass.name,
      host: HOST,
      pathPrefix: requestClass.pathPrefix,
      kind: requestClass.kind === 'non-idempotent' ? 'non_idempotent' : requestClass.kind,
      timeoutMs: requestClass.timeoutMs,
      targetLatencyMs: requestClass.targetLatencyMs,
      priority: 1,
      attempts: requestClass.attempts,
      resumable: requestClass.kind === 'streaming',
      service: serviceOf.get(requestClass.name),
    })),
    services: [
      { name: MODEL, maxConnections: 1_000, engine },
      ...WEB_SERVICES.map((name) => ({ name, maxConnections: 1_000 })),
    ],
    tenants: keys.map(({ key, tenant }) => ({ name: tenant, apiKeys: [key] })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** What a server got that its caller had not sent, or that it must not get. */
function problemOf(call: CallRecord, request: IncomingMessage, body: string): string {
  const { headers, url, method } = request;
  if (method !== 'POST' || url !== `${call.requestClass.pathPrefix}x`) return 'another path';
  if (body !== call.body) return 'another body';
  if (headers[WIRE.apiKey] !== undefined) return 'the API key was passed on';
  if (headers[WIRE.tenant] !== call.tenant) return `tenant ${headers[WIRE.tenant]}`;
  if (headers[HEADERS.tokenCount] === undefined) return 'without its token count';
  return '';
}

function pause(spanMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, spanMs));
}
