/**
 * Reading a prompt at an engine that only reads, and freeing the memory that nobody goes on from.
 */
import {
  type EnginePlan,
  type ExpectedRead,
  type ServerRecord,
  sharedPart,
} from '../../core/gateway/index.js';
import { type AttemptContext, defaultAttemptOptions, sendAttempt } from './attempt.js';
import type { Exchange } from './exchange.js';
import type { HandoverSource } from './ports.js';
import { callWithTimeout } from './timer-service.js';

const MAX_ANSWER_BYTES = 65_536;
const FREE_TIMEOUT_MS = 500;
/** An engine is given up after this many times the expected time and a little more. */
const PATIENCE_FACTOR = 4;
const PATIENCE_MS = 500;
/** A read that was expected to wait less than this part of its time shows the engine's pace. */
const FREE_WAIT_SHARE = 0.25;
/** Smaller parts are read sooner than they are told of. */
const LEAST_TOLD_TOKENS = 1_024;

/** A plan by which one engine reads and another goes on. */
export type PrefillPlan = Extract<EnginePlan, { kind: 'prefill' }>;

/** Reads the prompt as planned; undefined when that did not come about, `held-back` when it was not sent. */
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
  noteSharedRead(exchange, context, plan);
  const speed = fleet.speedOf(service);
  const isForecast = speed.isLearnt && urgency === 'in-time';
  const patienceMs = isForecast
    ? PATIENCE_MS + PATIENCE_FACTOR * plan.expectedMs
    : exchange.remainingMs();
  let isGivenUp = false;
  const memory = await callWithTimeout(timers, patienceMs, exchange.signal, async (signal) => {
    const asked = await askToRead(exchange, context, plan, priority, signal);
    isGivenUp = signal.aborted;
    return asked;
  });
  onLoadChange();
  const nowMs = timers.nowMs();
  if (memory === 'held-back') {
    load.abandon(read);
    context.admission.wake();
    return memory;
  }
  const isSuperseded = fleet.directory.isSuperseded(server);
  // What a server has read is gone with its life.
  if (memory === undefined || isSuperseded) {
    load.abandon(read);
    context.admission.wake();
    noteWait(exchange, context, plan, nowMs - startedAtMs);
    const wasSilent = isGivenUp && !exchange.signal.aborted;
    if (wasSilent && !isSuperseded) fleet.healthOf(server.id).recordBroken(nowMs);
    return undefined;
  }
  load.finish(read, nowMs);
  context.admission.wake();
  exchange.stepTimesMs.prefillMs = nowMs - startedAtMs;
  const elapsedMs = nowMs - startedAtMs;
  if (hadShortQueue(plan.read) || !speed.isLearnt) {
    const { waitMs } = plan.read;
    fleet.paces.learnPrefill(server, missingTokens, { elapsedMs, waitMs }, nowMs);
  } else noteWait(exchange, context, plan, elapsedMs);
  fleet.prefixIndex.assume(server.id, description.promptParts, nowMs);
  return memory;
}

/** Whether a read was expected to begin so soon that its time shows the engine's pace. */
export function hadShortQueue({ waitMs, readMs }: ExpectedRead): boolean {
  return waitMs <= FREE_WAIT_SHARE * readMs;
}

/** Learns how forecasts of waiting come out; a read that was given up waited at least so long. */
function noteWait(
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

/** Tells of a shared part that is not there yet, so that the next request for it follows. */
function noteSharedRead(exchange: Exchange, context: AttemptContext, plan: PrefillPlan): void {
  const { server, missingTokens } = plan.prefill;
  const { description, timers } = exchange.options;
  const part = sharedPart(description.promptParts);
  if (part === undefined || part.tokens < LEAST_TOLD_TOKENS) return;
  const ownTokens = description.promptTokens - part.tokens;
  if (missingTokens <= ownTokens && plan.prefill.fetchFrom === undefined) return;
  const read = { engineId: server.id, part, readyInMs: plan.expectedMs };
  context.fleet.prefixIndex.expectRead(read, timers.nowMs());
  context.advertiseRead(read);
}

async function askToRead(
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
  });
  if (result.kind === 'held-back') return 'held-back';
  if (result.kind !== 'answered') return undefined;
  const { answer, end, recordPrefilled: noteRead } = result.attempt;
  const body = await answer.collect(MAX_ANSWER_BYTES);
  const isRead = body !== undefined && answer.status === 200;
  const prefill = isRead ? context.codec.readPrefillAnswer(body) : undefined;
  if (prefill === undefined) {
    end({ kind: 'bad', reason: `no memory, status ${answer.status}` });
    return undefined;
  }
  end({ kind: 'good' });
  noteRead();
  return { address: server.address, handle: prefill.handle };
}

/** Frees memory; whether that comes about is not waited for, as it lapses by itself. */
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
  void callWithTimeout(exchange.options.timers, FREE_TIMEOUT_MS, undefined, (signal) =>
    context.calls.call({ ...call, signal }),
  ).then((result) => {
    if (result.kind === 'answered') result.answer.message.resume();
  });
}
