/** Runs the prefill of a prompt at a prefill engine, and frees KV memory that no engine decodes from. */
import {
  type EnginePlan,
  type ExpectedRead,
  isPathSegment,
  type ServerRecord,
  sharedPart,
} from '../../core/gateway/index.js';
import { type AttemptContext, defaultAttemptOptions, sendAttempt } from './attempt.js';
import type { BackendAnswer } from './backend-answer.js';
import type { Exchange } from './exchange.js';
import { runInBackground } from './internal-faults.js';
import type { HandoverSource, PrefillAnswer } from './ports.js';
import { callWithTimeout } from './timer-service.js';

const MAX_ANSWER_BYTES = 65_536;
const FREE_TIMEOUT_MS = 500;
/** A longer handle would make a head that engines refuse. */
const MAX_HANDLE_LENGTH = 256;
/** A prefill times out after `TIMEOUT_FACTOR` times its expected duration plus `TIMEOUT_SLACK_MS`. */
const TIMEOUT_FACTOR = 4;
const TIMEOUT_SLACK_MS = 500;
/** A prefill with an expected wait of at most this share of its duration is used to learn the engine's pace. */
const MAX_WAIT_SHARE = 0.25;
/** Prefills of smaller shared parts end before other daemons would receive the notice. */
const MIN_ADVERTISED_TOKENS = 1_024;

/** A plan with the prefill at one engine and the decode at another. */
export type PrefillPlan = Extract<EnginePlan, { kind: 'prefill' }>;

/** Runs the prefill as planned; undefined when it failed, `held-back` when it was not sent. */
export async function runPrefill(
  exchange: Exchange,
  context: AttemptContext,
  plan: PrefillPlan,
  priority: number,
): Promise<HandoverSource | 'held-back' | undefined> {
  const { server, missingTokens } = plan.prefill;
  const { timers, description, service } = exchange.options;
  const { urgency } = plan.read;
  const { fleet, onLoadChange } = context;
  const load = fleet.loadOf(server.id);
  const startedAtMs = timers.nowMs();
  const read = load.begin(plan.read, startedAtMs);
  onLoadChange();
  announceSharedRead(exchange, context, plan);
  const speed = fleet.speedOf(service);
  const isForecast = speed.isLearnt && urgency === 'in-time';
  const timeoutMs = isForecast
    ? TIMEOUT_SLACK_MS + TIMEOUT_FACTOR * plan.expectedMs
    : exchange.remainingMs();
  let isAborted = false;
  const memory = await callWithTimeout(timers, timeoutMs, exchange.signal, async (signal) => {
    const prefilled = await requestPrefill(exchange, context, plan, priority, signal);
    isAborted = signal.aborted;
    return prefilled;
  });
  onLoadChange();
  const nowMs = timers.nowMs();
  if (memory === 'held-back') {
    load.abandon(read);
    context.admission.wake();
    return memory;
  }
  const isSuperseded = fleet.directory.isSuperseded(server);
  // A server's KV memory is lost when it restarts.
  if (memory === undefined || isSuperseded) {
    load.abandon(read);
    context.admission.wake();
    recordWait(exchange, context, plan, nowMs - startedAtMs);
    const hasTimedOut = isAborted && !exchange.signal.aborted;
    if (hasTimedOut && !isSuperseded) fleet.healthOf(server.id).recordBroken(nowMs);
    return undefined;
  }
  load.finish(read, nowMs);
  context.admission.wake();
  exchange.stepTimesMs.prefillMs = nowMs - startedAtMs;
  const elapsedMs = nowMs - startedAtMs;
  if (hadShortQueue(plan.read) || !speed.isLearnt) {
    const { waitMs } = plan.read;
    fleet.paces.learnPrefill(server, missingTokens, { elapsedMs, waitMs }, nowMs);
  } else recordWait(exchange, context, plan, elapsedMs);
  fleet.prefixIndex.assume(server.id, description.promptParts, nowMs);
  return memory;
}

/** Whether a prefill was expected to start soon enough that its duration shows the engine's pace. */
export function hadShortQueue({ waitMs, readMs }: ExpectedRead): boolean {
  return waitMs <= MAX_WAIT_SHARE * readMs;
}

/** Corrects the forecasts of waiting times; a prefill that failed waited at least until then. */
function recordWait(
  exchange: Exchange,
  { fleet }: AttemptContext,
  { read, prefill }: PrefillPlan,
  elapsedMs: number,
): void {
  const { service, timers } = exchange.options;
  const nowMs = timers.nowMs();
  const excessMs = fleet.loadOf(prefill.server.id).excessMs(nowMs);
  const scale = fleet.waitScaleOf(service, read.urgency);
  const knownMs = (read.waitMs - excessMs) / scale.factor(nowMs);
  scale.add(knownMs, Math.max(1, elapsedMs - read.readMs), nowMs);
}

/** Announces the prefill of a shared part that the engine has not cached, so that the next request for it goes there too. */
function announceSharedRead(exchange: Exchange, context: AttemptContext, plan: PrefillPlan): void {
  const { server, missingTokens } = plan.prefill;
  const { description, timers } = exchange.options;
  const part = sharedPart(description.promptParts);
  if (part === undefined || part.tokens < MIN_ADVERTISED_TOKENS) return;
  const ownTokens = description.promptTokens - part.tokens;
  if (missingTokens <= ownTokens && plan.prefill.fetchFrom === undefined) return;
  const read = { engineId: server.id, part, readyInMs: plan.expectedMs };
  context.fleet.prefixIndex.expectRead(read, timers.nowMs());
  context.advertiseRead(read);
}

async function requestPrefill(
  exchange: Exchange,
  context: AttemptContext,
  plan: PrefillPlan,
  priority: number,
  signal: AbortSignal,
): Promise<HandoverSource | 'held-back' | undefined> {
  const { server, fetchFrom } = plan.prefill;
  const result = await sendAttempt(exchange, context, {
    ...defaultAttemptOptions(server, signal),
    mayKeepConnection: true,
    prefillOnly: true,
    priority,
    fetchFrom: fetchFrom?.address,
    expectedMs: plan.expectedMs,
    onLateAnswer: (answer) =>
      runInBackground(
        exchange.options.log,
        'free late KV memory',
        freeLatePrefill(exchange, context, server, answer),
      ),
  });
  if (result.kind === 'held-back') return 'held-back';
  if (result.kind !== 'answered') return undefined;
  const { answer, end, recordPrefilled } = result.attempt;
  const prefill = await readPrefill(context, answer);
  if (prefill === undefined) {
    end({ kind: 'bad', reason: `no usable handle, status ${answer.status}` });
    return undefined;
  }
  end({ kind: 'good' });
  recordPrefilled();
  return { address: server.address, handle: prefill.handle };
}

/**
 * The memory that an engine's answer names; undefined where the prefill failed, its answer broke off, or no header and path
 * can carry the handle.
 */
async function readPrefill(
  { codec }: AttemptContext,
  answer: BackendAnswer,
): Promise<PrefillAnswer | undefined> {
  const body = await answer.collect(MAX_ANSWER_BYTES);
  const hasSucceeded = body !== undefined && answer.status === 200;
  const prefill = hasSucceeded ? codec.readPrefillAnswer(body) : undefined;
  const isUsable = prefill !== undefined && isPathSegment(prefill.handle, MAX_HANDLE_LENGTH);
  return isUsable ? prefill : undefined;
}

/** Frees the memory of a prefill that ended after it was given up; it would occupy the engine until it expires. */
async function freeLatePrefill(
  exchange: Exchange,
  context: AttemptContext,
  server: ServerRecord,
  answer: BackendAnswer,
): Promise<void> {
  const prefill = await readPrefill(context, answer);
  if (prefill === undefined) return;
  freeKvMemory(exchange, context, { address: server.address, handle: prefill.handle }, server);
}

/** Frees KV memory without waiting for the result, as the memory also expires at the engine. */
export function freeKvMemory(
  exchange: Exchange,
  context: AttemptContext,
  memory: HandoverSource,
  source: ServerRecord,
): void {
  const call = {
    ...context.codec.freeHandle(memory.handle, source.id),
    server: source,
    purpose: 'free-memory' as const,
    request: exchange.options.description.attemptId,
    mayKeepConnection: true,
    connectTimeoutMs: FREE_TIMEOUT_MS,
  };
  const { timers, log } = exchange.options;
  const freed = callWithTimeout(timers, FREE_TIMEOUT_MS, undefined, (signal) =>
    context.calls.call({ ...call, signal }),
  ).then((result) => {
    if (result.kind === 'answered') result.answer.discard();
  });
  runInBackground(log, 'free KV memory', freed);
}
