/**
 * Simulation of many daemons that plan with their own estimates and receive each other's load through the relays of
 * their zones, with the delays of the real ones. Engines read one prompt after the other. Runs in virtual time with a
 * seeded random generator.
 */
import {
  chooseDecodeEngine,
  type EngineChoiceInput,
  type EnginePlan,
  type LoadReport,
  type PromptPart,
  planModelRequest,
  type ReadNotice,
  type ServerRecord,
  SumsAdvertiser,
  sharedPart,
} from '../../../src/core/gateway/index.js';
import { VirtualClock } from '../../../src/lab/simulation/index.js';
import { Random } from '../../../src/lab/workload/random.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';

const SERVICE = 'm';
const ZONES = 3;
const TARGET_MS = 600;
const TYPICAL_TOKENS = 7_000;
/** The daemons exchange load reports before the first request arrives. */
const TRAFFIC_FROM_MS = 1_500;
const REPORT_DELAY_MS = 90;
const RELAY_INTERVAL_MS = 60;
const LINK_MS = 1;
const HAND_OVER_MS = 12;
const TOKEN_MS = 8;

/** Parameters of a replay. */
export interface SpreadScenario {
  readonly seed: number;
  readonly daemons: number;
  readonly enginesOfStage: number;
  readonly requestsPerSecond: number;
  /** Number of shared parts; half of the prompts begin with one of them. */
  readonly sharedParts: number;
  readonly sharedTokens: number;
  readonly durationMs: number;
  readonly isSpreading: boolean;
  readonly prefillTokensPerMs: number;
}

/** A prompt or run sent to an engine. */
export interface Arrival {
  readonly atMs: number;
  readonly engineId: string;
  readonly stage: 'prefill' | 'decode';
}

/** The result of a replay. */
export interface SpreadOutcome {
  readonly arrivals: readonly Arrival[];
  /** Time to the first token, by time of arrival. */
  readonly firstTokens: readonly { readonly atMs: number; readonly tookMs: number }[];
  readonly readTokens: number;
  /** Tokens of shared parts read, each time at an engine that did not have the part cached. */
  readonly sharedReadTokens: number;
  readonly handOvers: number;
}

/** Prompts or runs at the busiest engine of a stage, relative to the mean over the stage. */
export function busiestToMeanWait(
  arrivals: readonly Arrival[],
  stage: Arrival['stage'],
  engines: number,
  [fromMs, toMs]: readonly [number, number],
): number {
  const counts = new Map<string, number>();
  let total = 0;
  for (const arrival of arrivals) {
    if (arrival.stage !== stage || arrival.atMs < fromMs || arrival.atMs >= toMs) continue;
    counts.set(arrival.engineId, (counts.get(arrival.engineId) ?? 0) + 1);
    total += 1;
  }
  return (Math.max(...counts.values()) * engines) / total;
}

interface Daemon {
  readonly name: string;
  readonly zone: number;
  readonly fleet: FleetView;
  reads: ReadNotice[];
  isReportScheduled: boolean;
  sequence: number;
}

interface Relay {
  readonly daemon: Daemon;
  readonly zoneSums: SumsAdvertiser;
  readonly sums: SumsAdvertiser;
  zoneReads: ReadNotice[];
  otherReads: ReadNotice[];
}

interface Engine {
  freeAtMs: number;
  readonly cached: Set<string>;
}

/** Replays one scenario. */
export function replaySpread(scenario: SpreadScenario): SpreadOutcome {
  return new SpreadReplay(scenario).run();
}

class SpreadReplay {
  readonly #scenario: SpreadScenario;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  readonly #servers: readonly ServerRecord[];
  readonly #engines = new Map<string, Engine>();
  readonly #daemons: readonly Daemon[];
  readonly #relays: readonly Relay[];
  readonly #arrivals: Arrival[] = [];
  readonly #firstTokens: { atMs: number; tookMs: number }[] = [];
  #requests = 0;
  #readTokens = 0;
  #sharedReadTokens = 0;
  #handOvers = 0;

  constructor(scenario: SpreadScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
    this.#servers = serversOf(scenario.enginesOfStage);
    for (const { id } of this.#servers) this.#engines.set(id, { freeAtMs: 0, cached: new Set() });
    this.#daemons = Array.from({ length: scenario.daemons }, (_, index) => this.#daemon(index));
    this.#relays = this.#daemons.slice(0, ZONES).map((daemon) => ({
      daemon,
      zoneSums: new SumsAdvertiser(),
      sums: new SumsAdvertiser(),
      zoneReads: [],
      otherReads: [],
    }));
  }

  run(): SpreadOutcome {
    for (const relay of this.#relays) {
      this.#clock.scheduleAt(this.#random.unit() * RELAY_INTERVAL_MS, () => this.#sendSums(relay));
    }
    this.#clock.scheduleAt(TRAFFIC_FROM_MS, () => this.#arrive());
    this.#clock.runUntil(TRAFFIC_FROM_MS + this.#scenario.durationMs);
    return {
      arrivals: this.#arrivals,
      firstTokens: this.#firstTokens,
      readTokens: this.#readTokens,
      sharedReadTokens: this.#sharedReadTokens,
      handOvers: this.#handOvers,
    };
  }

  /** Time since the first request could arrive. */
  get #trafficMs(): number {
    return this.#clock.now - TRAFFIC_FROM_MS;
  }

  #daemon(index: number): Daemon {
    const fleet = new FleetView({ ratio: 0.2, slack: 50 });
    fleet.directory.replaceAll(this.#servers);
    fleet.setDaemonCount(this.#scenario.daemons);
    fleet.speedOf(SERVICE).setInitialEstimate(TYPICAL_TOKENS, TARGET_MS);
    const initialState = { reads: [], isReportScheduled: false, sequence: 0 };
    return { name: `daemon-${index}`, zone: index % ZONES, fleet, ...initialState };
  }

  #arrive(): void {
    const { daemons, requestsPerSecond } = this.#scenario;
    const daemon = this.#daemons[this.#random.integer(0, daemons - 1)];
    if (daemon !== undefined) this.#plan(daemon, this.#prompt());
    const waitMs = this.#random.exponential(requestsPerSecond / 1_000);
    this.#clock.scheduleAt(this.#clock.now + waitMs, () => this.#arrive());
  }

  #prompt(): readonly PromptPart[] {
    const { sharedParts, sharedTokens } = this.#scenario;
    this.#requests += 1;
    const own = { id: `own-${this.#requests}`, tokens: this.#random.integer(600, 1_800) };
    if (this.#random.unit() < 0.5) return [own];
    const part = this.#random.integer(1, sharedParts);
    return [{ id: `shared-${part}`, tokens: sharedTokens }, own];
  }

  #plan(daemon: Daemon, promptParts: readonly PromptPart[]): void {
    const input = this.#input(daemon, promptParts);
    const plan = planModelRequest(input);
    if (plan === undefined) return;
    const { fleet } = daemon;
    const isPrefill = plan.kind === 'prefill';
    const { server, missingTokens, fetchFrom } = isPrefill ? plan.prefill : plan;
    const speed = fleet.speedOf(SERVICE);
    const runMs = 100 * speed.tokenMs;
    fleet.demand
      .of(SERVICE)
      .recordRequest(
        'long-prompt',
        { prefillMs: speed.prefillBusyMs(missingTokens), decodeMs: runMs / server.slots },
        this.#clock.now,
      );
    this.#expectShared(daemon, plan, promptParts);
    const sentMs = this.#clock.now;
    const load = fleet.loadOf(server.id);
    const read = isPrefill ? load.begin(plan.read, sentMs) : undefined;
    if (!isPrefill) load.running += 1;
    this.#scheduleReport(daemon);
    this.#clock.scheduleAt(sentMs + LINK_MS, () => {
      const doneMs = this.#read(server, promptParts, fetchFrom) + LINK_MS;
      this.#clock.scheduleAt(doneMs, () => {
        const nowMs = this.#clock.now;
        fleet.prefixIndex.assume(server.id, promptParts, nowMs);
        if (read === undefined) {
          speed.learnDecode(missingTokens, nowMs - sentMs);
          this.#run(daemon, server, sentMs);
          return;
        }
        load.finish(read, nowMs);
        if (plan.read.waitMs <= 0.25 * plan.read.readMs || !speed.isLearnt) {
          speed.learnPrefill(missingTokens, nowMs - sentMs);
        }
        this.#scheduleReport(daemon);
        this.#handOver(daemon, promptParts, server, sentMs);
      });
    });
  }

  #handOver(
    daemon: Daemon,
    promptParts: readonly PromptPart[],
    source: ServerRecord,
    sentMs: number,
  ): void {
    const target = chooseDecodeEngine(this.#input(daemon, promptParts), source);
    if (target === undefined) return;
    this.#handOvers += 1;
    daemon.fleet.loadOf(target.id).running += 1;
    this.#scheduleReport(daemon);
    this.#arrivals.push({ atMs: this.#trafficMs, engineId: target.id, stage: 'decode' });
    this.#clock.scheduleAt(this.#clock.now + HAND_OVER_MS, () => {
      daemon.fleet.speedOf(SERVICE).learnHandOver(HAND_OVER_MS);
      this.#run(daemon, target, sentMs);
    });
  }

  #run(daemon: Daemon, server: ServerRecord, sentMs: number): void {
    this.#firstTokens.push({ atMs: sentMs - TRAFFIC_FROM_MS, tookMs: this.#clock.now - sentMs });
    const runMs = this.#random.integer(20, 180) * TOKEN_MS;
    this.#clock.scheduleAt(this.#clock.now + runMs, () => {
      daemon.fleet.loadOf(server.id).running -= 1;
      daemon.fleet.speedOf(SERVICE).learnRun(100, runMs);
      this.#scheduleReport(daemon);
    });
  }

  /** Time at which an engine will have read a prompt that arrives now. */
  #read(
    { id, stage }: ServerRecord,
    parts: readonly PromptPart[],
    fetchFrom: ServerRecord | undefined,
  ): number {
    const engine = this.#engines.get(id);
    if (engine === undefined) return this.#clock.now;
    const atMs = this.#clock.now;
    this.#arrivals.push({
      atMs: this.#trafficMs,
      engineId: id,
      stage: stage === 'prefill' ? 'prefill' : 'decode',
    });
    const sourceCache =
      fetchFrom === undefined ? undefined : this.#engines.get(fetchFrom.id)?.cached;
    let tokens = 0;
    for (const part of parts) {
      if (engine.cached.has(part.id)) continue;
      engine.cached.add(part.id);
      if (sourceCache?.has(part.id) === true) continue;
      tokens += part.tokens;
      if (part.id.startsWith('shared')) this.#sharedReadTokens += part.tokens;
    }
    this.#readTokens += tokens;
    const pace = this.#scenario.prefillTokensPerMs * (stage === 'prefill' ? 1 : 0.5);
    engine.freeAtMs = Math.max(engine.freeAtMs, atMs) + tokens / pace;
    return engine.freeAtMs;
  }

  #input(daemon: Daemon, promptParts: readonly PromptPart[]): EngineChoiceInput {
    const { fleet, zone } = daemon;
    const nowMs = this.#clock.now;
    const promptTokens = promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
    const head = { attemptId: 'x', deadlineMs: 5_000, maxOutputTokens: 100 };
    const unseen = fleet.demand.unseenOf(SERVICE, nowMs);
    const entropy = this.#random.unit();
    const { isSpreading } = this.#scenario;
    return {
      candidates: fleet.candidates(SERVICE, nowMs),
      excludedIds: new Set(),
      description: { ...head, promptParts, promptTokens },
      zone: `zone-${zone}`,
      nowMs,
      prefixIndex: fleet.prefixIndex,
      peerLoads: fleet.peerLoads,
      speed: fleet.speedOf(SERVICE),
      waitFactor: (urgency) => fleet.waitScaleOf(SERVICE, urgency).factor(nowMs),
      latencyBudgetMs: 0.9 * TARGET_MS,
      shortReadsPerMs: fleet.demand.shortReadsPerMs(SERVICE, nowMs),
      kvTokenBytes: 163_840,
      linkMbps: 1_600_000,
      healthOf: (id) => fleet.healthOf(id),
      loadOf: (id) => fleet.loadOf(id),
      spread: unseen === undefined || !isSpreading ? undefined : { unseen, entropy },
    };
  }

  #expectShared(daemon: Daemon, plan: EnginePlan, parts: readonly PromptPart[]): void {
    const part = sharedPart(parts);
    if (plan.kind !== 'prefill' || part === undefined || part.tokens < 1_024) return;
    const { server, missingTokens, fetchFrom } = plan.prefill;
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    if (missingTokens <= promptTokens - part.tokens && fetchFrom === undefined) return;
    const notice = { engineId: server.id, part, readyInMs: plan.expectedMs };
    daemon.fleet.prefixIndex.expectRead(notice, this.#clock.now);
    daemon.reads.push(notice);
  }

  #scheduleReport(daemon: Daemon): void {
    if (daemon.isReportScheduled) return;
    daemon.isReportScheduled = true;
    this.#clock.scheduleAt(this.#clock.now + REPORT_DELAY_MS, () => {
      daemon.isReportScheduled = false;
      const reads = daemon.reads.splice(0);
      const relay = this.#relays[daemon.zone];
      if (relay === undefined) return;
      if (relay.daemon === daemon) relay.zoneReads.push(...reads);
      else this.#sendReport(daemon, relay, reads);
    });
  }

  #sendReport(daemon: Daemon, relay: Relay, reads: readonly ReadNotice[]): void {
    const { name, fleet } = daemon;
    daemon.sequence += 1;
    const nowMs = this.#clock.now;
    const head = { daemon: name, incarnation: 1, sequence: daemon.sequence, reach: [], reads };
    const report: LoadReport = {
      ...head,
      work: fleet.ownWork(nowMs),
      demand: fleet.demand.own(nowMs),
    };
    this.#clock.scheduleAt(nowMs + LINK_MS, () => {
      relay.daemon.fleet.peerLoads.applyReport(report, this.#clock.now);
      relay.zoneReads.push(...reads);
      this.#applyReads(relay.daemon, reads);
    });
  }

  #sendSums(relay: Relay): void {
    const nowMs = this.#clock.now;
    const { fleet, name, zone } = relay.daemon;
    const own = fleet.ownWork(nowMs);
    const ownDemand = fleet.demand.own(nowMs);
    const zoneReads = relay.zoneReads.splice(0);
    const reads = [...zoneReads, ...relay.otherReads.splice(0)];
    relay.daemon.sequence += 1;
    const head = { relay: name, incarnation: 1, sequence: relay.daemon.sequence, reach: [] };
    const all = relay.sums.next(fleet.peerLoads.totals(own, nowMs), nowMs);
    const demand = fleet.peerLoads.totalDemand(ownDemand, nowMs);
    const ofZone = relay.zoneSums.next(fleet.peerLoads.zoneTotals(own, nowMs), nowMs);
    const zoneDemand = fleet.peerLoads.zoneDemand(ownDemand, nowMs);
    this.#clock.scheduleAt(nowMs + LINK_MS, () => {
      const atMs = this.#clock.now;
      for (const daemon of this.#daemons) {
        if (daemon.zone !== zone || daemon === relay.daemon) continue;
        const ownWork = daemon.fleet.ownWork(atMs);
        daemon.fleet.peerLoads.applySums({ ...head, ...all, reads, demand }, ownWork, atMs);
        this.#applyReads(daemon, reads);
      }
      for (const other of this.#relays) {
        if (other === relay) continue;
        const sums = { ...head, ...ofZone, reads: zoneReads, demand: zoneDemand };
        other.daemon.fleet.peerLoads.applyZoneSums(`zone-${zone}`, sums, atMs);
        other.otherReads.push(...zoneReads);
        this.#applyReads(other.daemon, zoneReads);
      }
    });
    this.#clock.scheduleAt(nowMs + RELAY_INTERVAL_MS, () => this.#sendSums(relay));
  }

  #applyReads(daemon: Daemon, reads: readonly ReadNotice[]): void {
    for (const read of reads) daemon.fleet.prefixIndex.expectRead(read, this.#clock.now);
  }
}

function serversOf(enginesOfStage: number): ServerRecord[] {
  const stages = ['prefill', 'decode'] as const;
  return stages.flatMap((stage) =>
    Array.from({ length: enginesOfStage }, (_, index) => ({
      id: `${stage}-${index}`,
      service: SERVICE,
      address: '127.0.0.1:1',
      zone: `zone-${index % ZONES}`,
      slots: 64,
      state: 'ready' as const,
      isSpot: false,
      stage,
    })),
  );
}
