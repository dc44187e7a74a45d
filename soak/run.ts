/**
 * A soak run: gateway processes, a simulated store and simulated servers, callers, and the faults of a plan. The record of
 * the run is judged at the end. A run kills only the processes that it has started.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { AcceptMonitor } from './accept-monitor.js';
import { AddressBlock } from './address-block.js';
import { bundleGateway } from './bundle.js';
import { Callers } from './callers.js';
import { boundsOf, CALLER_KEYS, CLASSES, MODEL, Operator, WEB_SERVICES } from './configuration.js';
import { CROWD_ID_PREFIX } from './crowd-requests.js';
import { type CrowdCounts, Crowds } from './crowds.js';
import { DaemonLinks } from './daemon-links.js';
import { DatagramLink } from './datagram-link.js';
import { DutyService } from './duty-service.js';
import { FaultInjector } from './fault-injector.js';
import { GatewayProcess } from './gateway-process.js';
import { WIRE } from './header-names.js';
import { LagMonitor } from './lag-monitor.js';
import { endsBeforeCode } from './life-judge.js';
import type { Mutation } from './mutations.js';
import {
  type BudgetWindow,
  crashesByWork,
  judge,
  lateArrivals,
  type Violation,
  worstBudgetWindow,
} from './oracle.js';
import { crashesByPart } from './part-judge.js';
import { pause } from './pause.js';
import type { SoakPlan } from './plan.js';
import { PlatformStore, type StoreEndpoint } from './platform-store.js';
import { checkPorts } from './port-check.js';
import type {
  Arrival,
  CallEnd,
  CallRecord,
  OrderRecord,
  PortCheck,
  RunRecord,
  SoakBounds,
} from './record.js';
import { RouteProbes } from './route-probes.js';
import { ServerPool, ZONES } from './server-pool.js';
import { DAEMON_PORTS } from './settings-file.js';
import { describeStops } from './stop-judge.js';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_INTERVAL_MS = 50;
/** Time for open calls to end after the last one was sent. */
const LAST_CALLS_GRACE_MS = 4_000;
const MEMORY_INTERVAL_MS = 100;
const BYTES_PER_MEGABYTE = 1_048_576;

/** The result of a run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Number of calls by how they ended; calls with a response are counted by its status. */
  readonly ends: ReadonlyMap<string, number>;
  /** Counts of the stops of daemons, in words; empty unless each cut around a stop is judged. */
  readonly stops: readonly string[];
  /** Number of servers that crashed, for each request that crashes servers. */
  readonly crashes: readonly number[];
  /** The same for each part of prompts that crashes servers. */
  readonly crashesByPart: readonly number[];
  /** Number of calls that the duty service accepted. */
  readonly reports: number;
  readonly budgets: readonly BudgetWindow[];
  /**
   * The longest delay of the soak's own process. Promises that hold only without disturbances are not judged while it
   * is delayed.
   */
  readonly worstLagMs: number;
  /** The longest time that a connection to a server waited until the soak's own process accepted it. */
  readonly worstAcceptMs: number;
  /** Arrivals of calls whose callers had left, which are late only because of such a wait. */
  readonly heldUpArrivals: number;
  /** Number of processes that a signal ended which must not, before any code of the daemon had run. */
  readonly endsBeforeCode: number;
  /** How the connections of crowds were treated. */
  readonly crowds: CrowdCounts;
  /** The most memory that a process had resident at once; 0 if the plan names no memory. */
  readonly peakResidentBytes: number;
  /** Directory with the logs and settings of the daemons; kept if a promise was broken. */
  readonly directory: string;
}

/** The programs that daemons run. */
export interface SoakPrograms {
  readonly mutation?: Mutation | undefined;
  /** Path to the program of an earlier release, which each daemon runs until its first restart. */
  readonly earlierProgram?: string | undefined;
}

/** Runs a plan and judges the run. */
export async function runSoak(plan: SoakPlan, programs: SoakPrograms = {}): Promise<SoakResult> {
  const run = new SoakRun(plan);
  const endRun = () => run.close();
  process.once('exit', endRun);
  try {
    return await run.play(programs);
  } finally {
    run.close();
    process.removeListener('exit', endRun);
  }
}

class SoakRun {
  readonly #plan: SoakPlan;
  readonly #bounds: SoakBounds;
  readonly #directory = mkdtempSync(join(tmpdir(), 'threadfork-soak-'));
  readonly #store: PlatformStore;
  readonly #dutyService = new DutyService();
  readonly #operator: Operator;
  readonly #pool: ServerPool;
  readonly #daemons: GatewayProcess[] = [];
  readonly #storeEndpointOf = new Map<string, StoreEndpoint>();
  readonly #callers: Callers;
  readonly #probes: RouteProbes;
  readonly #crowds: Crowds;
  readonly #faults: FaultInjector;
  readonly #daemonLinks: DaemonLinks | undefined;
  readonly #datagramLinks: DatagramLink[] = [];
  readonly #calls = new Map<string, CallRecord>();
  readonly #unasked: string[] = [];
  readonly #orders: OrderRecord[] = [];
  readonly #lag = new LagMonitor((fromMs, toMs) => this.#faults.recordStandInsLate(fromMs, toMs));
  readonly #accepts = new AcceptMonitor();
  #addresses: AddressBlock | undefined;
  #memoryWatch: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
    this.#bounds = boundsOf(plan.size.daemons);
    const generator = xoroshiro128plus(plan.seed);
    const random = () => uniformFloat64(generator);
    this.#store = new PlatformStore(random);
    const classes = plan.sessions?.classes ?? CLASSES;
    this.#operator = new Operator(this.#store, classes);
    const hasCuts = plan.faults.some(({ fault }) => fault.kind === 'cut');
    this.#daemonLinks = hasCuts ? new DaemonLinks(plan.size.daemons, this.#accepts) : undefined;
    this.#pool = new ServerPool({
      ...plan.size,
      traits: plan.servers,
      store: this.#store,
      accepts: this.#accepts,
      daemonLinks: this.#daemonLinks,
      random,
      observer: {
        onArrival: (request, body, arrival) => this.#recordArrival(request, body, arrival),
        onOrder: (order) => this.#orders.push(order),
        onCrash: (serverId) => this.#faults.crashServer(serverId),
      },
    });
    this.#callers = new Callers({
      daemons: this.#daemons,
      classes,
      requestsPerSecond: plan.size.requestsPerSecond,
      keys: CALLER_KEYS,
      longStreamShare: plan.longStreamShare,
      sessions: plan.sessions,
      hasDistinctBodies: plan.hasDistinctBodies === true,
      random,
      calls: this.#calls,
    });
    this.#probes = new RouteProbes({ daemons: this.#daemons, operator: this.#operator });
    this.#crowds = new Crowds({ random });
    this.#faults = new FaultInjector({
      bounds: this.#bounds,
      store: this.#store,
      dutyService: this.#dutyService,
      pool: this.#pool,
      operator: this.#operator,
      daemons: this.#daemons,
      storeEndpointOf: this.#storeEndpointOf,
      callers: this.#callers,
      crowds: this.#crowds,
      daemonLinks: this.#daemonLinks,
      datagramLinks: this.#datagramLinks,
    });
  }

  async play({ mutation, earlierProgram }: SoakPrograms): Promise<SoakResult> {
    const program = await bundleGateway(this.#directory, mutation);
    await this.#pool.start();
    this.#operator.change('idle');
    await this.#startDaemons(program, earlierProgram);
    await this.#waitUntilReady();
    const beginMs = performance.now();
    this.#callers.start(this.#plan.size.seconds * 1_000);
    this.#probes.start();
    this.#lag.start();
    this.#watchMemory();
    this.#accepts.start();
    for (const { atMs, fault } of this.#plan.faults) {
      setTimeout(() => void this.#faults.begin(fault), atMs);
    }
    for (const work of this.#plan.crashing) {
      setTimeout(() => this.#callers.sendCrashing(work), work.fromMs);
    }
    for (const part of this.#plan.crashingParts ?? []) {
      setTimeout(() => this.#callers.sendCrashingPart(part), part.fromMs);
    }
    await pause(this.#plan.size.seconds * 1_000);
    this.#callers.stopSending();
    this.#probes.stop();
    const endMs = performance.now();
    const [portChecks] = await Promise.all([this.#checkPorts(), pause(LAST_CALLS_GRACE_MS)]);
    this.close();
    await Promise.all(this.#daemons.map((daemon) => daemon.logged()));
    return this.#result(portChecks, beginMs, endMs);
  }

  /** The ports of the daemons that run and are not to end. */
  #checkPorts(): Promise<readonly PortCheck[]> {
    const serving = this.#daemons.filter(
      ({ isRunning, isStopping, isFrozen }) => isRunning && !isStopping && !isFrozen,
    );
    return Promise.all(serving.map((daemon) => checkPorts(daemon, LAST_CALLS_GRACE_MS)));
  }

  #watchMemory(): void {
    if (this.#plan.machine === undefined) return;
    this.#memoryWatch = setInterval(() => {
      for (const daemon of this.#daemons) daemon.noteMemory();
    }, MEMORY_INTERVAL_MS);
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#faults.end();
    this.#lag.stop();
    this.#accepts.stop();
    clearInterval(this.#memoryWatch);
    this.#crowds.close();
    this.#callers.close();
    this.#probes.stop();
    for (const daemon of this.#daemons) daemon.signal('SIGKILL');
    this.#daemonLinks?.close();
    for (const link of this.#datagramLinks) link.close();
    this.#pool.close();
    this.#store.close();
    this.#dutyService.close();
    this.#addresses?.release();
  }

  #result(portChecks: readonly PortCheck[], beginMs: number, endMs: number): SoakResult {
    const run: RunRecord = {
      calls: this.#calls,
      unasked: this.#unasked,
      disturbances: this.#faults.disturbances,
      configurations: this.#operator.versions,
      probes: this.#probes.records,
      drains: this.#faults.drains,
      limits: this.#faults.limits,
      cuts: this.#faults.cuts,
      skews: this.#faults.skews,
      serving: this.#pool.servingSpans,
      lives: this.#daemons.flatMap(({ lives }) => lives),
      portChecks,
      falseReadiness: this.#faults.falseReadiness,
      orders: this.#orders,
      duties: this.#dutyService.records,
      bounds: this.#bounds,
      hasStrictStops: this.#plan.hasStrictStops === true,
      machineBytes: machineBytesOf(this.#plan),
      beginMs,
      endMs,
    };
    const violations = judge(run);
    const calls = [...this.#calls.values()];
    const late = calls.flatMap((call) => lateArrivals(call, run));
    if (violations.length === 0) rmSync(this.#directory, { recursive: true, force: true });
    return {
      violations,
      ends: countEnds(calls),
      stops: run.hasStrictStops ? describeStops(calls, run) : [],
      crashes: crashesByWork(calls),
      crashesByPart: crashesByPart(calls, endMs),
      reports: this.#dutyService.records.filter(({ isAccepted }) => isAccepted).length,
      worstLagMs: Math.round(this.#lag.worstMs),
      worstAcceptMs: Math.round(this.#accepts.worstMs),
      heldUpArrivals: late.filter(({ isHeldUp }) => isHeldUp).length,
      budgets: [MODEL, ...WEB_SERVICES].map((service) => worstBudgetWindow(run, service)),
      endsBeforeCode: endsBeforeCode(run.lives).length,
      crowds: this.#crowds.counts,
      peakResidentBytes: Math.max(0, ...run.lives.map((life) => life.peakResidentBytes)),
      directory: this.#directory,
    };
  }

  async #startDaemons(program: string, earlierProgram: string | undefined): Promise<void> {
    this.#addresses = await AddressBlock.claim();
    const dutyPort = await this.#dutyService.open();
    const hasLateDatagrams = this.#plan.faults.some(({ fault }) => fault.kind === 'late-datagrams');
    if (hasLateDatagrams) this.#store.peerPort = DAEMON_PORTS.datagramLink;
    for (let index = 0; index < this.#plan.size.daemons; index += 1) {
      const zoneIndex = index % ZONES.length;
      const zone = ZONES[zoneIndex] ?? ZONES[0];
      const name = `daemon-${zone}-${index}`;
      const host = this.#addresses.addressOf(zoneIndex, index);
      if (hasLateDatagrams) await this.#openDatagramLink(host);
      const endpoint = this.#store.createEndpoint();
      endpoint.addressOf = (address) => this.#daemonLinks?.addressFor(index, address) ?? address;
      this.#storeEndpointOf.set(name, endpoint);
      const daemon = new GatewayProcess({
        name,
        zone,
        host,
        storePort: await endpoint.open(),
        dutyPort,
        program,
        earlierProgram,
        directory: this.#directory,
        bounds: this.#bounds,
        machine: this.#plan.machine,
        onUnaskedEnd: (ended, cause) => void this.#faults.restartEnded(ended, cause),
      });
      this.#daemons.push(daemon);
      daemon.start();
    }
  }

  async #openDatagramLink(host: string): Promise<void> {
    const link = new DatagramLink(host, DAEMON_PORTS.peers);
    await link.open(DAEMON_PORTS.datagramLink);
    this.#datagramLinks.push(link);
  }

  async #waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const daemon of this.#daemons) {
      while (!(await daemon.isReady())) {
        if (performance.now() > untilMs) {
          const where = `${daemon.host}, log in ${this.#directory}`;
          throw new Error(`${daemon.name} is not ready (${where}): is its address in use?`);
        }
        await pause(READY_POLL_INTERVAL_MS);
      }
    }
  }

  #recordArrival(request: IncomingMessage, body: string, arrival: Arrival): void {
    const { headers } = request;
    const id = String(headers[WIRE.attemptId]);
    const call = this.#calls.get(id);
    if (id.startsWith(CROWD_ID_PREFIX)) return;
    if (call === undefined) {
      this.#unasked.push(`${arrival.serverId} got ${id}, which no caller sent`);
      return;
    }
    arrival.problem = problemOf(call, request, body);
    call.arrivals.push(arrival);
  }
}

function machineBytesOf({ machine }: SoakPlan): number | undefined {
  return machine === undefined ? undefined : machine.memoryMb * BYTES_PER_MEGABYTE;
}

function countEnds(calls: readonly CallRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { end } of calls) {
    const how = endName(end);
    counts.set(how, (counts.get(how) ?? 0) + 1);
  }
  return counts;
}

function endName(end: CallEnd | undefined): string {
  if (end === undefined) return 'open';
  if (end.kind === 'answered') return end.isComplete ? `${end.status}` : `${end.status} cut`;
  if (end.kind === 'left') return end.isEarly ? 'left early' : 'deadline';
  return end.kind;
}

/**
 * How a request at a server differs from what its caller sent, or what the daemon should have removed; empty if
 * nothing is wrong.
 */
function problemOf(call: CallRecord, request: IncomingMessage, body: string): string {
  const { headers, url, method } = request;
  if (method !== 'POST' || url !== `${call.requestClass.pathPrefix}x`) return 'another path';
  if (body !== call.body) return 'another body';
  if (headers[WIRE.apiKey] !== undefined) return 'the API key was passed on';
  if (headers[WIRE.tenant] !== call.tenant) return `tenant ${headers[WIRE.tenant]}`;
  if (headers[WIRE.tokenCount] === undefined) return 'without its token count';
  return '';
}
