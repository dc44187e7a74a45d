/**
 * Plans a model request: read the prompt at a prefill engine and go on at a decode engine, or let a
 * decode engine read it by itself. Each way is priced by the expected time to the first event.
 */
import { sharedPart } from './description.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import {
  healthCostMs,
  OTHER_ZONE_COST_MS,
  occupancyCostMs,
  paceAt,
  runCostMs,
  runsAt,
  slotWaitMs,
  waitMs,
  zoneCostMs,
} from './engine-costs.js';
import type { ExpectedRead, Urgency } from './engine-load.js';
import { bestKvSources, type KvSource, kvSourceFor, kvTransferMs } from './kv-sources.js';
import { preferredEngineOf } from './preferred-engine.js';
import type { ReadSpeed } from './read-speed.js';
import type { EngineStage, ServerRecord } from './server-directory.js';
import { drawSpread, type Spread, type SpreadWork, usefulSpread } from './spread-choice.js';

/** A part that nobody keeps is read at its home, unless that waits longer than this part of its reading. */
const HOME_SHARE = 0.25;
/** Homes of a part while nobody has told anything; each reads the part, so they are few. */
const HOMES_AT_START = 4;
/** About what a prompt has that an engine that generates reads by itself; longer ones are read apart. */
const SHORT_PROMPT_TOKENS = 500;

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
      readonly isSpread: boolean;
    }
  | {
      readonly kind: 'direct';
      readonly read: ExpectedRead;
      readonly server: ServerRecord;
      readonly fetchFrom: ServerRecord | undefined;
      readonly missingTokens: number;
      readonly expectedMs: number;
      /** Whether another engine would have been taken by the sums alone. */
      readonly isSpread: boolean;
    };

/** What reading the prompt at an engine costs, whatever waits there. */
interface Reader {
  readonly server: ServerRecord;
  readonly missingTokens: number;
  readonly fetchFrom: ServerRecord | undefined;
  readonly readMs: number;
  /** Reading all of it: where that takes longer, others send less. */
  readonly wholeReadMs: number;
  readonly slotMs: number;
  /** What speaks against it whatever the prompt: full slots, failures. */
  readonly standingMs: number;
  /** What else speaks against it: others that it holds up, another zone. */
  readonly otherCostMs: number;
  /** What speaks for the home of a part that it does not keep yet. */
  readonly preferenceBonusMs: number;
}

/** The engines that may read the prompt, worked out once for both urgencies. */
interface Readers {
  readonly prefill: readonly Reader[];
  readonly decode: readonly Reader[];
  /** Until the memory has moved and a run has a slot. */
  readonly handOverMs: number;
}

interface ReadEstimate {
  readonly reader: Reader;
  readonly read: ExpectedRead;
  readonly costMs: number;
  /** When a prompt that begins with nothing kept would be read there, as all daemons see it. */
  readonly loadMs: number;
  readonly preferenceBonusMs: number;
}

/** The shared part of the prompt, and where it is read first. */
interface HomePart {
  readonly home: ServerRecord | undefined;
  readonly tokens: number;
}

/**
 * The best way to run a model request; undefined when no engine that generates is left. What can be in
 * time waits only for its like; what cannot goes after all others, wherever it waits least for all.
 */
export function planModelRequest(input: EngineChoiceInput): EnginePlan | undefined {
  const readers = readersOf(input);
  const plan = planAs('in-time', readers, input);
  if (plan === undefined || plan.expectedMs <= input.latencyBudgetMs) return plan;
  return planAs('late', readers, input);
}

function planAs(
  urgency: Urgency,
  readers: Readers,
  input: EngineChoiceInput,
): EnginePlan | undefined {
  const direct = bestReader(readers.decode, urgency, input);
  const prefill = bestReader(readers.prefill, urgency, input);
  if (direct === undefined) return undefined;
  const { handOverMs } = readers;
  if (prefill !== undefined && prefill.costMs + handOverMs < direct.costMs) {
    const { reader, read } = spreadReader(prefill, readers.prefill, handOverMs, input);
    const { server, missingTokens, fetchFrom } = reader;
    return {
      kind: 'prefill',
      read,
      expectedMs: read.waitMs + read.readMs + handOverMs,
      prefill: { server, missingTokens, fetchFrom },
      isSpread: reader !== prefill.reader,
    };
  }
  const { reader, read } = spreadReader(direct, readers.decode, 0, input);
  const { server, missingTokens, fetchFrom } = reader;
  return {
    kind: 'direct',
    server,
    fetchFrom,
    missingTokens,
    read,
    expectedMs: read.waitMs + read.readMs,
    isSpread: reader !== direct.reader,
  };
}

/** The engine that goes on from a prompt read at `source`. */
export function chooseDecodeEngine(
  input: EngineChoiceInput,
  source: ServerRecord,
): ServerRecord | undefined {
  const estimates = enginesOf(input, 'decode').map((server) => {
    const moveCost = server.zone === source.zone ? 0 : OTHER_ZONE_COST_MS;
    const pace = paceAt(server, input);
    const runs = runsAt(server, input);
    const waitsMs = waitMs(server, 'in-time', input) + slotWaitMs(server, runs, pace, input);
    const longerMs = input.speed.handOverMs * (1 / pace - 1);
    const loadMs = waitsMs + occupancyCostMs(server, runs, input) + healthCostMs(server, input);
    return {
      server,
      loadMs,
      costMs: moveCost + longerMs + loadMs + zoneCostMs(server, input),
      preferenceBonusMs: 0,
    };
  });
  const best = lowest(estimates, ({ costMs }) => costMs);
  const spread = usefulSpread(input.spread);
  if (best === undefined || spread === undefined) return best?.server;
  return drawSpread(estimates, spreadWork(best.server, 'decode', 0, spread, input))?.server;
}

/** The reader to take in place of the best by the sums, where others take that one too. */
function spreadReader(
  best: ReadEstimate,
  readers: readonly Reader[],
  handOverMs: number,
  input: EngineChoiceInput,
): ReadEstimate {
  const spread = usefulSpread(input.spread);
  if (spread === undefined) return best;
  const { urgency, readMs } = best.read;
  const mostMs = input.latencyBudgetMs - handOverMs;
  const isInTime = ({ read }: ReadEstimate) => read.waitMs + read.readMs <= mostMs;
  const estimates = readers.map((reader) => estimateOf(reader, urgency, input));
  const equals = isInTime(best) ? estimates.filter(isInTime) : estimates;
  const { server } = best.reader;
  const stage = server.stage === 'decode' ? 'decode' : 'prefill';
  return drawSpread(equals, spreadWork(server, stage, readMs, spread, input)) ?? best;
}

function spreadWork(
  server: ServerRecord,
  stage: EngineStage,
  readMs: number,
  spread: Spread,
  input: EngineChoiceInput,
): SpreadWork {
  const runMs = stage === 'decode' ? runCostMs(server, input) : 0;
  const shortReadMs = input.speed.decodeBusyMs(SHORT_PROMPT_TOKENS);
  return { spread, stage, readMs, shortReadMs, runMs };
}

function estimateOf(reader: Reader, urgency: Urgency, input: EngineChoiceInput): ReadEstimate {
  const waitsMs = waitMs(reader.server, urgency, input) + reader.slotMs;
  const { readMs, standingMs, otherCostMs, preferenceBonusMs } = reader;
  const loadMs = waitsMs + standingMs;
  return {
    reader,
    read: { urgency, readMs, waitMs: waitsMs },
    costMs: loadMs + readMs + otherCostMs - preferenceBonusMs,
    loadMs: loadMs + reader.wholeReadMs,
    preferenceBonusMs,
  };
}

function bestReader(
  readers: readonly Reader[],
  urgency: Urgency,
  input: EngineChoiceInput,
): ReadEstimate | undefined {
  let best: ReadEstimate | undefined;
  for (const reader of readers) {
    const estimate = estimateOf(reader, urgency, input);
    if (best === undefined || estimate.costMs < best.costMs) best = estimate;
  }
  return best;
}

function readersOf(input: EngineChoiceInput): Readers {
  const donors = bestKvSources(input);
  const decode = readersOfStage('decode', donors, input);
  const slotsMs = decode.map(({ slotMs }) => slotMs);
  const leastSlotMs = slotsMs.length === 0 ? 0 : Math.min(...slotsMs);
  return {
    decode,
    prefill: readersOfStage('prefill', donors, input),
    handOverMs: input.speed.handOverMs + leastSlotMs,
  };
}

function readersOfStage(
  stage: EngineStage,
  donors: readonly KvSource[],
  input: EngineChoiceInput,
): readonly Reader[] {
  const servers = enginesOf(input, stage);
  const shared = sharedPart(input.description.promptParts);
  const home = shared === undefined ? undefined : homeNow(shared.id, servers, input);
  const homePart = { home, tokens: shared?.tokens ?? 0 };
  return servers.map((server) => readerAt(server, stage, donors, homePart, input));
}

/** Before anyone has told of any work, a part has some homes, so that no engine gets what all begin with. */
function homeNow(
  partId: string,
  servers: readonly ServerRecord[],
  { spread, quantizedPaceOf }: EngineChoiceInput,
): ServerRecord | undefined {
  if (spread?.unseen.kind !== 'by-daemons')
    return preferredEngineOf(partId, servers, quantizedPaceOf);
  const place = Math.floor(spread.entropy * HOMES_AT_START);
  return preferredEngineOf(`${place} ${partId}`, servers, quantizedPaceOf);
}

function readerAt(
  server: ServerRecord,
  stage: EngineStage,
  donors: readonly KvSource[],
  homePart: HomePart,
  input: EngineChoiceInput,
): Reader {
  const { description, prefixIndex, nowMs, speed } = input;
  const kept = prefixIndex.cachedTokens(server.id, description.promptParts, nowMs);
  const donor = kvSourceFor(server, kept, donors);
  const fetched = donor === undefined ? 0 : donor.cachedTokens - kept;
  const missingTokens = Math.max(1, description.promptTokens - kept - fetched);
  const fetchMs = donor === undefined ? 0 : kvTransferMs(fetched, input);
  const pace = paceAt(server, input);
  const runs = runsAt(server, input);
  const aloneMs = readAloneMs(stage, missingTokens, pace, speed);
  const delayMs = stage === 'decode' ? delayOfOthersMs(missingTokens, pace, input) : 0;
  const isHome = server === homePart.home && kept === 0;
  const bonusMs = isHome ? (HOME_SHARE * speed.prefillBusyMs(homePart.tokens)) / pace : 0;
  return {
    server,
    missingTokens,
    fetchFrom: donor?.server,
    readMs: aloneMs + fetchMs,
    wholeReadMs: readAloneMs(stage, description.promptTokens, pace, speed),
    slotMs: stage === 'decode' ? slotWaitMs(server, runs, pace, input) : 0,
    standingMs: occupancyCostMs(server, runs, input) + healthCostMs(server, input),
    otherCostMs: delayMs + zoneCostMs(server, input),
    preferenceBonusMs: bonusMs,
  };
}

/** Reading at an engine of a pace, nothing waiting before it. */
function readAloneMs(stage: EngineStage, tokens: number, pace: number, speed: ReadSpeed): number {
  const usualMs = stage === 'prefill' ? speed.prefillMs(tokens) : speed.decodeMs(tokens);
  return usualMs / pace;
}

/** What short prompts wait for a read at a decode engine: half of it, for each that comes meanwhile. */
function delayOfOthersMs(missingTokens: number, pace: number, input: EngineChoiceInput): number {
  const busyMs = input.speed.decodeBusyMs(missingTokens) / pace;
  // A faster engine gets as many more.
  return (input.shortReadsPerMs * pace * busyMs * busyMs) / 2;
}

function enginesOf(input: EngineChoiceInput, stage: 'prefill' | 'decode'): ServerRecord[] {
  return input.candidates.filter(
    (server) => server.stage === stage && !input.excludedIds.has(server.id),
  );
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
