/**
 * When an engine is expected to finish a request, from its (old) report and what this daemon has
 * sent to it since.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { EngineEntry } from './engine-entry.js';
import type { OutstandingRecord } from './outstanding-table.js';

/** Requests sent to an engine beyond its batch, as a share of it, so that it never runs dry. */
const QUEUE_AHEAD_SHARE = 0.25;

/** The age at which a report's word counts for half; docs/decisions/routing-policy.md. */
const HALF_TRUST_AGE_MS: Milliseconds = 500;
/** How many requests of its own the fleet's mean weighs against in a daemon's sample. */
const SAMPLE_PRIOR_REQUESTS = 0.3;

/** What a request asks of an engine. */
export interface RequestCost {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What estimates are made from, beside the engine's entry. */
export interface EstimateInput {
  readonly now: MonotonicMs;
  /** Requests in hand at an engine, in the mean over the fleet. */
  readonly meanActive: number;
  /** This daemon's requests in flight to an engine, in the mean over the fleet. */
  readonly meanOwnInFlight: number;
}

/**
 * Requests that an engine is expected to have in hand. What its report said, corrected by what this
 * daemon sent and saw end since, fades with the report's age into what this daemon knows at first
 * hand: its own requests there, taken for a sample of all daemons'. Without the fading, all daemons
 * go on sending to what looked idle in an old report.
 */
export function expectedActive(
  entry: EngineEntry,
  record: OutstandingRecord | undefined,
  input: EstimateInput,
): number {
  const netSentSince = record === undefined ? 0 : record.requestsSince(entry.reportedAt);
  const sampled = sampledActive(record?.inFlight ?? 0, input);
  const trust = trustAtAge(input.now - entry.reportedAt);
  return Math.max(0, trust * (entry.reportedActive + netSentSince) + (1 - trust) * sampled);
}

/** The most requests that daemons together should have in hand at an engine. */
export function inFlightLimit(entry: EngineEntry): number {
  return entry.maxBatch + Math.ceil(entry.maxBatch * QUEUE_AHEAD_SHARE);
}

/** Prompt tokens expected to wait at an engine for prefill. */
function expectedPrefillBacklog(
  entry: EngineEntry,
  record: OutstandingRecord | undefined,
  now: MonotonicMs,
): number {
  const age = Math.max(0, now - entry.loadAt);
  const sent = record === undefined ? 0 : record.promptTokensSince(entry.loadAt);
  const processed = (age * entry.speed.prefillTokensPerSecond) / 1000;
  return Math.max(0, sent - processed) + entry.reportedPrefillTokens * trustAtAge(age);
}

/**
 * Milliseconds until an engine is expected to have finished a request.
 * @param active what `expectedActive` gives for the engine
 * @param record what this daemon has sent to the engine, if anything
 */
export function expectedFinishMs(
  entry: EngineEntry,
  active: number,
  record: OutstandingRecord | undefined,
  now: MonotonicMs,
  cost: RequestCost,
  cachedTokens: number,
): Milliseconds {
  const backlog = expectedPrefillBacklog(entry, record, now);
  const uncached = Math.max(0, cost.promptTokens - cachedTokens);
  const prefillMs = ((backlog + uncached) * 1000) / entry.speed.prefillTokensPerSecond;
  const { maxBatch } = entry;
  const decodeMs = cost.outputTokens * entry.speed.stepMs(active + 1, maxBatch);
  const queuedAhead = Math.max(0, active + 1 - maxBatch);
  const slotWaitMs = (queuedAhead / maxBatch) * decodeMs;
  return prefillMs + slotWaitMs + decodeMs;
}

/** With few requests of its own a daemon's sample says little, and the fleet's mean stands in. */
function sampledActive(ownInFlight: number, input: EstimateInput): number {
  const ownToMean =
    (ownInFlight + SAMPLE_PRIOR_REQUESTS) / (input.meanOwnInFlight + SAMPLE_PRIOR_REQUESTS);
  return input.meanActive * ownToMean;
}

/** A quotient rather than an exponential: it is asked for every engine where many are full. */
function trustAtAge(age: Milliseconds): number {
  const relative = age / HALF_TRUST_AGE_MS;
  return age <= 0 ? 1 : 1 / (1 + relative * relative);
}
