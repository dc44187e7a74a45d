/**
 * Estimates when an engine will finish a request, from its last report and the requests that this
 * daemon has sent to it since.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { EngineEntry } from './engine-entry.js';
import type { OutstandingRecord } from './outstanding-table.js';

/** Share of the batch size that may queue beyond the batch, so that the engine never runs idle. */
const QUEUE_AHEAD_SHARE = 0.25;

/** The age at which a report's weight is one half; see docs/decisions/routing-policy.md. */
const HALF_TRUST_AGE_MS: Milliseconds = 500;
/** Prior weight, in requests, that pulls a daemon's own sample towards the fleet's mean. */
const SAMPLE_PRIOR_REQUESTS = 0.3;

/** The token counts that determine the cost of a request. */
export interface RequestCost {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The input of an estimate besides the engine's entry. */
export interface EstimateInput {
  readonly now: MonotonicMs;
  /** Active requests per engine, averaged over the fleet. */
  readonly meanActive: number;
  /** Requests of this daemon in flight per engine, averaged over the fleet. */
  readonly meanOwnInFlight: number;
}

/**
 * The expected number of active requests at an engine. It is a weighted mean of two estimates: the
 * reported count, corrected by the requests that this daemon started and ended since, and an
 * extrapolation from this daemon's own requests in flight, taken as a sample of all daemons'. The
 * weight of the report decreases with its age. Otherwise all daemons would go on sending to an
 * engine that was idle in an old report.
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

/** Maximum number of active requests at an engine, from all daemons together. */
export function inFlightLimit(entry: EngineEntry): number {
  return entry.maxBatch + Math.ceil(entry.maxBatch * QUEUE_AHEAD_SHARE);
}

/** Expected number of prompt tokens that wait for prefill at an engine. */
function expectedPrefillBacklog(
  entry: EngineEntry,
  record: OutstandingRecord | undefined,
  now: MonotonicMs,
): number {
  const age = Math.max(0, now - entry.loadMeasuredAt);
  const sent = record === undefined ? 0 : record.promptTokensSince(entry.loadMeasuredAt);
  const processed = (age * entry.speed.prefillTokensPerSecond) / 1000;
  return Math.max(0, sent - processed) + entry.reportedPrefillTokens * trustAtAge(age);
}

/**
 * Milliseconds until an engine is expected to have finished a request.
 * @param active the result of `expectedActive` for the engine
 * @param record the requests that this daemon has sent to the engine, if any
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

/**
 * Extrapolates the active requests at an engine from this daemon's own. The fewer requests the
 * daemon has in flight, the closer the result is to the fleet's mean.
 */
function sampledActive(ownInFlight: number, input: EstimateInput): number {
  const ownToMean =
    (ownInFlight + SAMPLE_PRIOR_REQUESTS) / (input.meanOwnInFlight + SAMPLE_PRIOR_REQUESTS);
  return input.meanActive * ownToMean;
}

/**
 * The weight of a report, from 1 when new towards 0. A quotient is cheaper than an exponential, and
 * where many engines are full, the weight is computed for every engine.
 */
function trustAtAge(age: Milliseconds): number {
  const relative = age / HALF_TRUST_AGE_MS;
  return age <= 0 ? 1 : 1 / (1 + relative * relative);
}
