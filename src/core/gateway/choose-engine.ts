/**
 * Chooses the engines for a model request: either a prefill engine reads the prompt (computes its KV
 * cache) and a decode engine continues from there, or one decode engine reads the prompt and generates.
 * Each option is priced by the expected time to the first event, in milliseconds.
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
import { isCompatible, softwareVersionOf, softwareVersionsOf } from './stream-origin.js';

/**
 * The preferred engine of a shared prompt part that no engine has cached gets a bonus of this share of the
 * part's read time: requests go there unless its wait exceeds that at other engines by more than the bonus.
 */
const PREFERENCE_BONUS_SHARE = 0.25;
/** Preferred engines of a part while no daemon has reported work yet; each reads the part, so there are few. */
const PREFERRED_ENGINES_AT_START = 4;
/** Typical length of a prompt that a decode engine reads itself; longer ones go to prefill engines. */
const SHORT_PROMPT_TOKENS = 500;

/** Reading the prompt at a prefill engine, before a decode engine continues. */
export interface PrefillStep {
  readonly server: ServerRecord;
  /** Tokens of the prompt that are not cached at the engine and have to be read. */
  readonly missingTokens: number;
  /** Engine that has more of the prompt cached, to fetch the KV cache from. */
  readonly fetchFrom: ServerRecord | undefined;
}

/** How a model request is run. */
export type EnginePlan =
  | {
      readonly kind: 'prefill';
      readonly prefill: PrefillStep;
      readonly read: ExpectedRead;
      /** Time to the first token. */
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
      /** Whether spreading chose an engine other than the cheapest one. */
      readonly isSpread: boolean;
    };

/** What reading the prompt at one engine costs, without the prompts queued there. */
interface ReadOption {
  readonly server: ServerRecord;
  readonly missingTokens: number;
  readonly fetchFrom: ServerRecord | undefined;
  readonly readMs: number;
  /** Time to read the prompt with nothing cached: other daemons send less where that takes longer. */
  readonly fullReadMs: number;
  readonly slotMs: number;
  /** Cost of the engine's state, for any prompt: occupied slots, failures. */
  readonly engineCostMs: number;
  /** Other costs: the delay to other prompts, a call to another zone. */
  readonly otherCostMs: number;
  /** Deducted at the preferred engine of a shared part, while it has nothing of the prompt cached. */
  readonly preferenceBonusMs: number;
}

/**
 * The engines that can read the prompt; computed once for both urgencies. A prefill engine needs a decode engine of its
 * software version.
 */
interface ReadOptions {
  readonly prefill: readonly ReadOption[];
  readonly decode: readonly ReadOption[];
  /** Time to transfer the KV cache to a decode engine and get a slot there. */
  readonly handOverMs: number;
}

interface ReadEstimate {
  readonly option: ReadOption;
  readonly read: ExpectedRead;
  readonly costMs: number;
  /** Time until a prompt with nothing cached would be read there, as every daemon computes it. */
  readonly loadMs: number;
  readonly preferenceBonusMs: number;
}

/** The shared part of the prompt and its preferred engine. */
interface SharedPartPreference {
  readonly engine: ServerRecord | undefined;
  readonly tokens: number;
}

/**
 * The cheapest way to run a model request; undefined when no decode engine is left. A request that can meet
 * its latency target queues only behind others that can. One that cannot queues behind all prompts, so it is
 * planned again for the engine where that wait is shortest.
 */
export function planModelRequest(input: EngineChoiceInput): EnginePlan | undefined {
  const options = readOptionsOf(input);
  const plan = planWithUrgency('in-time', options, input);
  if (plan === undefined || plan.expectedMs <= input.latencyBudgetMs) return plan;
  return planWithUrgency('late', options, input);
}

function planWithUrgency(
  urgency: Urgency,
  options: ReadOptions,
  input: EngineChoiceInput,
): EnginePlan | undefined {
  const direct = cheapestEstimate(options.decode, urgency, input);
  const prefill = cheapestEstimate(options.prefill, urgency, input);
  if (direct === undefined) return undefined;
  const { handOverMs } = options;
  if (prefill !== undefined && prefill.costMs + handOverMs < direct.costMs) {
    const { option, read } = spreadEstimate(prefill, options.prefill, handOverMs, input);
    const { server, missingTokens, fetchFrom } = option;
    return {
      kind: 'prefill',
      read,
      expectedMs: read.waitMs + read.readMs + handOverMs,
      prefill: { server, missingTokens, fetchFrom },
      isSpread: option !== prefill.option,
    };
  }
  const { option, read } = spreadEstimate(direct, options.decode, 0, input);
  const { server, missingTokens, fetchFrom } = option;
  return {
    kind: 'direct',
    server,
    fetchFrom,
    missingTokens,
    read,
    expectedMs: read.waitMs + read.readMs,
    isSpread: option !== direct.option,
  };
}

/** The decode engine that continues from a prompt read at `source`, of the same software version. */
export function chooseDecodeEngine(
  input: EngineChoiceInput,
  source: ServerRecord,
): ServerRecord | undefined {
  const engines = enginesOf(input, 'decode').filter((server) => isCompatible(server, source));
  const estimates = engines.map((server) => {
    const zoneCost = server.zone === source.zone ? 0 : OTHER_ZONE_COST_MS;
    const pace = paceAt(server, input);
    const runs = runsAt(server, input);
    const totalWaitMs = waitMs(server, 'in-time', input) + slotWaitMs(server, runs, pace, input);
    const extraHandOverMs = input.speed.handOverMs * (1 / pace - 1);
    const loadMs = totalWaitMs + occupancyCostMs(server, runs, input) + healthCostMs(server, input);
    return {
      server,
      loadMs,
      costMs: zoneCost + extraHandOverMs + loadMs + zoneCostMs(server, input),
      preferenceBonusMs: 0,
    };
  });
  const best = lowest(estimates, ({ costMs }) => costMs);
  const spread = usefulSpread(input.spread);
  if (best === undefined || spread === undefined) return best?.server;
  return drawSpread(estimates, spreadWork(best.server, 'decode', 0, spread, input))?.server;
}

/** One of the nearly cheapest engines, drawn where other daemons are likely to choose the same cheapest one. */
function spreadEstimate(
  best: ReadEstimate,
  options: readonly ReadOption[],
  handOverMs: number,
  input: EngineChoiceInput,
): ReadEstimate {
  const spread = usefulSpread(input.spread);
  if (spread === undefined) return best;
  const { urgency, readMs } = best.read;
  const readBudgetMs = input.latencyBudgetMs - handOverMs;
  const isInTime = ({ read }: ReadEstimate) => read.waitMs + read.readMs <= readBudgetMs;
  const estimates = options.map((option) => estimateOf(option, urgency, input));
  const eligible = isInTime(best) ? estimates.filter(isInTime) : estimates;
  const { server } = best.option;
  const stage = server.stage === 'decode' ? 'decode' : 'prefill';
  return drawSpread(eligible, spreadWork(server, stage, readMs, spread, input)) ?? best;
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

function estimateOf(option: ReadOption, urgency: Urgency, input: EngineChoiceInput): ReadEstimate {
  const totalWaitMs = waitMs(option.server, urgency, input) + option.slotMs;
  const { readMs, engineCostMs, otherCostMs, preferenceBonusMs } = option;
  const loadMs = totalWaitMs + engineCostMs;
  return {
    option,
    read: { urgency, readMs, waitMs: totalWaitMs },
    costMs: loadMs + readMs + otherCostMs - preferenceBonusMs,
    loadMs: loadMs + option.fullReadMs,
    preferenceBonusMs,
  };
}

function cheapestEstimate(
  options: readonly ReadOption[],
  urgency: Urgency,
  input: EngineChoiceInput,
): ReadEstimate | undefined {
  let best: ReadEstimate | undefined;
  for (const option of options) {
    const estimate = estimateOf(option, urgency, input);
    if (best === undefined || estimate.costMs < best.costMs) best = estimate;
  }
  return best;
}

function readOptionsOf(input: EngineChoiceInput): ReadOptions {
  const sources = bestKvSources(input);
  const decode = readOptionsOfStage('decode', sources, input);
  const slotsMs = decode.map(({ slotMs }) => slotMs);
  const minSlotMs = slotsMs.length === 0 ? 0 : Math.min(...slotsMs);
  const prefill = readOptionsOfStage('prefill', sources, input);
  return {
    decode,
    prefill:
      softwareVersionsOf(input.candidates).size <= 1 ? prefill : continuable(prefill, decode),
    handOverMs: input.speed.handOverMs + minSlotMs,
  };
}

/** The prefills that a decode engine of their software version can continue. */
function continuable(
  prefill: readonly ReadOption[],
  decode: readonly ReadOption[],
): readonly ReadOption[] {
  const versions = softwareVersionsOf(decode.map(({ server }) => server));
  return prefill.filter(({ server }) => versions.has(softwareVersionOf(server)));
}

function readOptionsOfStage(
  stage: EngineStage,
  sources: readonly KvSource[],
  input: EngineChoiceInput,
): readonly ReadOption[] {
  const servers = enginesOf(input, stage);
  const shared = sharedPart(input.description.promptParts);
  const engine =
    shared === undefined ? undefined : currentPreferredEngine(shared.id, servers, input);
  const preference = { engine, tokens: shared?.tokens ?? 0 };
  return servers.map((server) => readOptionAt(server, stage, sources, preference, input));
}

/**
 * The preferred engine of a part. Before any daemon has reported work, one of several is picked at random:
 * with a single one, all daemons would send their first prompts of that part to the same engine.
 */
function currentPreferredEngine(
  partId: string,
  servers: readonly ServerRecord[],
  { spread, quantizedPaceOf }: EngineChoiceInput,
): ServerRecord | undefined {
  if (spread?.unseen.kind !== 'by-daemons')
    return preferredEngineOf(partId, servers, quantizedPaceOf);
  const index = Math.floor(spread.entropy * PREFERRED_ENGINES_AT_START);
  return preferredEngineOf(`${index} ${partId}`, servers, quantizedPaceOf);
}

function readOptionAt(
  server: ServerRecord,
  stage: EngineStage,
  sources: readonly KvSource[],
  preference: SharedPartPreference,
  input: EngineChoiceInput,
): ReadOption {
  const { description, prefixIndex, nowMs, speed } = input;
  const cached = prefixIndex.cachedTokens(server.id, description.promptParts, nowMs);
  const kvSource = kvSourceFor(server, cached, sources);
  const fetchedTokens = kvSource === undefined ? 0 : kvSource.cachedTokens - cached;
  const missingTokens = Math.max(1, description.promptTokens - cached - fetchedTokens);
  const fetchMs = kvSource === undefined ? 0 : kvTransferMs(fetchedTokens, input);
  const pace = paceAt(server, input);
  const runs = runsAt(server, input);
  const unqueuedMs = unqueuedReadMs(stage, missingTokens, pace, speed);
  const delayMs = stage === 'decode' ? delayToOthersMs(missingTokens, pace, input) : 0;
  const isPreferred = server === preference.engine && cached === 0;
  const bonusMs = isPreferred
    ? (PREFERENCE_BONUS_SHARE * speed.prefillBusyMs(preference.tokens)) / pace
    : 0;
  return {
    server,
    missingTokens,
    fetchFrom: kvSource?.server,
    readMs: unqueuedMs + fetchMs,
    fullReadMs: unqueuedReadMs(stage, description.promptTokens, pace, speed),
    slotMs: stage === 'decode' ? slotWaitMs(server, runs, pace, input) : 0,
    engineCostMs: occupancyCostMs(server, runs, input) + healthCostMs(server, input),
    otherCostMs: delayMs + zoneCostMs(server, input),
    preferenceBonusMs: bonusMs,
  };
}

/** Read time at an engine of the given pace with an empty queue. */
function unqueuedReadMs(
  stage: EngineStage,
  tokens: number,
  pace: number,
  speed: ReadSpeed,
): number {
  const normalMs = stage === 'prefill' ? speed.prefillMs(tokens) : speed.decodeMs(tokens);
  return normalMs / pace;
}

/** Total delay of short prompts by a read at a decode engine: each that arrives meanwhile waits half of it. */
function delayToOthersMs(missingTokens: number, pace: number, input: EngineChoiceInput): number {
  const busyMs = input.speed.decodeBusyMs(missingTokens) / pace;
  // Engines receive short prompts in proportion to their pace.
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
