/**
 * Plans a model request: read the prompt at a prefill engine and go on at a decode engine, or let a
 * decode engine read it by itself. Each way is priced by the expected time to the first event.
 */
import type { EngineTraits } from './configuration.js';
import { type RequestDescription, sharedPart } from './description.js';
import type { EngineLoad, ExpectedRead, Urgency } from './engine-load.js';
import type { PeerLoads } from './peer-load.js';
import type { PrefixKnowledge } from './prefix-knowledge.js';
import type { ReadSpeed } from './read-speed.js';
import { rendezvousWeight } from './rendezvous.js';
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';

const SUSPECT_COST_MS = 20_000;
const FAILURE_COST_MS = 400;
const OTHER_ZONE_COST_MS = 4;
/** A part that nobody keeps is read at its home, unless that waits longer than this part of its reading. */
const HOME_SHARE = 0.25;
/** Fewer missing tokens than this are not worth fetching from another engine. */
const LEAST_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** What the plan is made from. */
export interface EngineChoiceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly description: RequestDescription;
  readonly zone: string;
  readonly nowMs: number;
  readonly knowledge: PrefixKnowledge;
  readonly speed: ReadSpeed;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Short prompts that one decode engine gets in a millisecond, from all daemons. */
  readonly shortReadsPerMs: number;
  healthOf(id: string): ServerHealth;
  readonly peerLoads: PeerLoads;
  /** How long prompts of an urgency wait, against what the work that is known says. */
  waitFactor(urgency: Urgency): number;
  /** What is left of the time in which an answer is in time. */
  readonly inTimeMs: number;
  loadOf(id: string): EngineLoad;
}

/** Read at one engine, go on at another. */
export interface PrefillStep {
  readonly server: ServerRecord;
  /** Tokens that are not kept there and have to be read. */
  readonly missingTokens: number;
  /** An engine that keeps more of the prompt, to take it from. */
  readonly fetchFrom: ServerRecord | undefined;
}

/** How a model request is to be run. */
export type EnginePlan =
  | {
      readonly kind: 'prefill';
      readonly prefill: PrefillStep;
      readonly read: ExpectedRead;
      /** Until the first token. */
      readonly expectedMs: number;
    }
  | {
      readonly kind: 'direct';
      readonly read: ExpectedRead;
      readonly server: ServerRecord;
      readonly fetchFrom: ServerRecord | undefined;
      readonly missingTokens: number;
      readonly expectedMs: number;
    };

interface ReadEstimate {
  readonly server: ServerRecord;
  readonly costMs: number;
  readonly read: ExpectedRead;
  readonly missingTokens: number;
  readonly fetchFrom: ServerRecord | undefined;
}

/**
 * The best way to run a model request; undefined when no engine that generates is left. What can be in
 * time waits only for its like; what cannot goes after all others, wherever it waits least for all.
 */
export function planModelRequest(input: EngineChoiceInput): EnginePlan | undefined {
  const plan = planAs('in-time', input);
  if (plan === undefined || plan.expectedMs <= input.inTimeMs) return plan;
  return planAs('late', input);
}

function planAs(urgency: Urgency, input: EngineChoiceInput): EnginePlan | undefined {
  const direct = bestReader(input, 'decode', urgency);
  const prefill = bestReader(input, 'prefill', urgency);
  if (direct === undefined) return undefined;
  const handOverMs = input.speed.handOverMs + leastSlotWaitMs(input);
  if (prefill !== undefined && prefill.costMs + handOverMs < direct.costMs) {
    return {
      kind: 'prefill',
      read: prefill.read,
      expectedMs: prefill.read.waitMs + prefill.read.readMs + handOverMs,
      prefill: {
        server: prefill.server,
        missingTokens: prefill.missingTokens,
        fetchFrom: prefill.fetchFrom,
      },
    };
  }
  return {
    kind: 'direct',
    server: direct.server,
    fetchFrom: direct.fetchFrom,
    missingTokens: direct.missingTokens,
    read: direct.read,
    expectedMs: direct.read.waitMs + direct.read.readMs,
  };
}

/** The engine that goes on from a prompt read at `source`. */
export function chooseDecodeEngine(
  input: EngineChoiceInput,
  source: ServerRecord,
): ServerRecord | undefined {
  return lowest(enginesOf(input, 'decode'), (server) => {
    const moveCost = server.zone === source.zone ? 0 : OTHER_ZONE_COST_MS;
    const waitsMs = waitMs(server, 'in-time', input) + slotWaitMs(server, input);
    return moveCost + waitsMs + standingCost(server, input);
  });
}

/** The engine where a part is read first, the same for all daemons that list the same engines. */
export function homeOf(partId: string, servers: readonly ServerRecord[]): ServerRecord | undefined {
  return lowest(servers, (server) => -rendezvousWeight(partId, server.id));
}

function bestReader(
  input: EngineChoiceInput,
  stage: 'prefill' | 'decode',
  urgency: Urgency,
): ReadEstimate | undefined {
  const servers = enginesOf(input, stage);
  const shared = sharedPart(input.description.promptParts);
  const home = shared === undefined ? undefined : homeOf(shared.id, servers);
  let best: ReadEstimate | undefined;
  for (const server of servers) {
    const estimate = estimateRead(server, stage, urgency, input, server === home);
    if (best === undefined || estimate.costMs < best.costMs) best = estimate;
  }
  return best;
}

function estimateRead(
  server: ServerRecord,
  stage: 'prefill' | 'decode',
  urgency: Urgency,
  input: EngineChoiceInput,
  isHome: boolean,
): ReadEstimate {
  const { description, knowledge, nowMs } = input;
  const sharedTokens = sharedPart(description.promptParts)?.tokens ?? 0;
  const kept = knowledge.keptTokens(server.id, description.promptParts, nowMs);
  const donor = bestDonor(server, kept, input);
  const fetched = donor === undefined ? 0 : donor.keptTokens - kept;
  const missingTokens = Math.max(1, description.promptTokens - kept - fetched);
  const fetchMs = donor === undefined ? 0 : moveMs(fetched, input);
  const pace =
    stage === 'prefill'
      ? input.speed.prefillMs.bind(input.speed)
      : input.speed.decodeMs.bind(input.speed);
  const readMs = pace(missingTokens) + fetchMs;
  const slotMs = stage === 'decode' ? slotWaitMs(server, input) : 0;
  const read = { urgency, readMs, waitMs: waitMs(server, urgency, input) + slotMs };
  const delayMs = stage === 'decode' ? delayOfOthersMs(missingTokens, input) : 0;
  const bonusMs = isHome && kept === 0 ? HOME_SHARE * input.speed.prefillBusyMs(sharedTokens) : 0;
  return {
    server,
    read,
    missingTokens,
    fetchFrom: donor?.server,
    costMs: read.waitMs + readMs + delayMs - bonusMs + standingCost(server, input),
  };
}

/** What short prompts wait for a read at a decode engine: half of it, for each that comes meanwhile. */
function delayOfOthersMs(missingTokens: number, input: EngineChoiceInput): number {
  const busyMs = input.speed.decodeBusyMs(missingTokens);
  return (input.shortReadsPerMs * busyMs * busyMs) / 2;
}

/** Another engine that keeps enough more of the prompt to be worth a move. */
function bestDonor(
  server: ServerRecord,
  keptTokens: number,
  input: EngineChoiceInput,
): { readonly server: ServerRecord; readonly keptTokens: number } | undefined {
  let best: { readonly server: ServerRecord; readonly keptTokens: number } | undefined;
  for (const other of input.candidates) {
    if (other.id === server.id || input.healthOf(other.id).isEjected(input.nowMs)) continue;
    const kept = input.knowledge.movableTokens(
      other.id,
      input.description.promptParts,
      input.nowMs,
    );
    if (kept - keptTokens < LEAST_FETCHED_TOKENS) continue;
    if (best === undefined || kept > best.keptTokens) best = { server: other, keptTokens: kept };
  }
  return best;
}

/** How long the memory of so many tokens takes on an engine's link. */
export function moveMs(
  tokens: number,
  link: Pick<EngineTraits, 'kvTokenBytes' | 'linkMbps'>,
): number {
  const bits = tokens * link.kvTokenBytes * BITS_PER_BYTE;
  return bits / (link.linkMbps * BITS_PER_MEGABIT_MS);
}

function enginesOf(input: EngineChoiceInput, stage: 'prefill' | 'decode'): ServerRecord[] {
  return input.candidates.filter(
    (server) => server.stage === stage && !input.excludedIds.has(server.id),
  );
}

/** How long a prompt waits at an engine for those that are read before it. */
function waitMs(server: ServerRecord, urgency: Urgency, input: EngineChoiceInput): number {
  const { nowMs, peerLoads } = input;
  const load = input.loadOf(server.id);
  const lateMs = urgency === 'late' ? load.pendingMs('late', nowMs) : 0;
  const knownMs =
    load.pendingMs('in-time', nowMs) + lateMs + peerLoads.waitMs(server.id, urgency, nowMs);
  return knownMs * input.waitFactor(urgency) + load.excessMs(nowMs);
}

/** Runs of all daemons that were sent to an engine and have not ended. */
function runsAt(server: ServerRecord, input: EngineChoiceInput): number {
  return input.loadOf(server.id).running + input.peerLoads.running(server.id, input.nowMs);
}

/** How long a run waits for a slot: those beyond the slots go in as runs end. */
function slotWaitMs(server: ServerRecord, input: EngineChoiceInput): number {
  const slots = Math.max(1, server.slots);
  const waiting = Math.max(0, runsAt(server, input) + 1 - slots);
  return (waiting * input.speed.runMs) / slots;
}

function leastSlotWaitMs(input: EngineChoiceInput): number {
  const waitsMs = enginesOf(input, 'decode').map((server) => slotWaitMs(server, input));
  return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
}

/** What speaks against an engine whatever the prompt: full slots, another zone, failures. */
function standingCost(server: ServerRecord, input: EngineChoiceInput): number {
  const health = input.healthOf(server.id);
  const running = runsAt(server, input);
  // A run there takes a share of each step: the fuller its slots, the later the next token.
  const fullness = running / Math.max(1, server.slots);
  let cost = input.speed.handOverMs * fullness;
  if (server.zone !== input.zone) cost += OTHER_ZONE_COST_MS;
  cost += FAILURE_COST_MS * health.failureRate;
  if (health.isSuspect(input.nowMs)) cost += SUSPECT_COST_MS;
  return cost;
}

function lowest<T>(items: readonly T[], costOf: (item: T) => number): T | undefined {
  let best: T | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const cost = costOf(item);
    if (cost < lowestCost) {
      best = item;
      lowestCost = cost;
    }
  }
  return best;
}
