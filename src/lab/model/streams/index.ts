/**
 * The streams model: the production frame reader and request reducer between a caller and engines
 * that repeat frames, send frames of another attempt, skip tokens, end early and break connections.
 */
import {
  newRequest,
  type RequestContext,
  type RequestEvent,
  type RequestState,
  stepRequest,
} from '../../../core/requests/index.js';
import { type FrameKind, FrameReader } from '../../../shell/http/frame-reader.js';
import type { Model, Outcome, Violation } from '../explorer.js';

/** The name of the streams model's property. */
export const STREAMS_PROPERTY = '4 an answer is not whole or not only its own';

/** How often each kind of flaw may occur in one run. */
export interface StreamsBudget {
  /** Frames that were sent before. */
  readonly repeated: number;
  /** Frames of another attempt, with foreign content. */
  readonly foreign: number;
  /** Tokens that the engine skips. */
  readonly gaps: number;
  /** End markers before the last token. */
  readonly earlyEnds: number;
  readonly breaks: number;
}

/** Protections that a mutation removes. */
export interface StreamsProtections {
  /** Frames are checked by attempt and offset. */
  readonly offsetCheck: boolean;
}

const PLAIN_RUN: StreamsBudget = { repeated: 0, foreign: 0, gaps: 0, earlyEnds: 0, breaks: 0 };
/** The complete answer, token by token; the caller must get exactly this. */
const ANSWER = ['once', 'upon', 'a', 'time'] as const;
const USAGE = 'usage';
const MAX_FRAME_BYTES = 1_000;

/** A frame as an engine sends it; `end` is the end marker. */
type Frame =
  | {
      readonly kind: 'data';
      readonly attempt: string;
      readonly offset: number;
      readonly data: string;
    }
  | { readonly kind: 'end' };

/** An attempt with its connection. */
interface StreamAttempt {
  readonly id: string;
  /** The offset of the first token requested from the engine. */
  readonly start: number;
  /** The offset of the next token to send; the answer's length when only the usage is left. */
  readonly next: number;
}

interface StreamsWorld {
  readonly request: RequestState;
  readonly attempt: StreamAttempt | null;
  readonly formerAttempt: string | null;
  /** The tokens that the caller has received. */
  readonly received: readonly string[];
  /** The offset of the next token that the caller has not received. */
  readonly nextOffset: number;
  readonly usageSeen: boolean;
  readonly ended: 'whole' | 'broken' | null;
  readonly budget: StreamsBudget;
}

type StreamsStep =
  | { readonly kind: 'frame'; readonly frame: Frame; readonly flaw: keyof StreamsBudget | null }
  | { readonly kind: 'break' };

/** Builds the streams model. */
export function streamsModel(
  name: string,
  scope: Partial<StreamsBudget>,
  protections: StreamsProtections = { offsetCheck: true },
): Model<StreamsWorld, StreamsStep> {
  return {
    name,
    initial: initialWorld({ ...PLAIN_RUN, ...scope }),
    steps: stepsOf,
    apply: (world, step) => applyStep(world, step, protections),
    key: (world) => JSON.stringify(world),
    describe: describeStep,
    goals: (world) => [
      ...(world.ended === null ? [] : [`ended ${world.ended}`]),
      ...(world.request.attempts > 1 ? ['resumed'] : []),
    ],
  };
}

function initialWorld(budget: StreamsBudget): StreamsWorld {
  const request = newRequest({
    id: 'a-1-1',
    tenant: 'leiden',
    className: 'interactive',
    target: {
      kind: 'model',
      model: 'labels',
      adapter: null,
      promptTokens: 10,
      maxOutputTokens: ANSWER.length,
      prefixHashes: [],
    },
    streamed: true,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: 0,
    deadline: 1_000_000,
  });
  const empty: StreamsWorld = {
    request,
    attempt: null,
    formerAttempt: null,
    received: [],
    nextOffset: 0,
    usageSeen: false,
    ended: null,
    budget,
  };
  return feed(empty, { kind: 'start' });
}

function stepsOf(world: StreamsWorld): StreamsStep[] {
  const { attempt, budget, formerAttempt } = world;
  if (attempt === null || world.ended !== null) return [];
  const steps: StreamsStep[] = [
    { kind: 'frame', frame: frameOf(attempt, attempt.next), flaw: null },
  ];
  for (let offset = attempt.start; offset < attempt.next && budget.repeated > 0; offset += 1) {
    steps.push({ kind: 'frame', frame: frameOf(attempt, offset), flaw: 'repeated' });
  }
  if (budget.foreign > 0) {
    const id = formerAttempt ?? 'another-request.1';
    const data = 'foreign';
    const frame = { kind: 'data', attempt: id, offset: world.nextOffset, data } as const;
    steps.push({ kind: 'frame', frame, flaw: 'foreign' });
  }
  if (budget.gaps > 0 && attempt.next < ANSWER.length) {
    steps.push({ kind: 'frame', frame: frameOf(attempt, attempt.next + 1), flaw: 'gaps' });
  }
  const isEarly = attempt.next <= ANSWER.length;
  if (budget.earlyEnds > 0 && isEarly) {
    steps.push({ kind: 'frame', frame: { kind: 'end' }, flaw: 'earlyEnds' });
  }
  if (budget.breaks > 0) steps.push({ kind: 'break' });
  return steps;
}

/** The frame of an offset: a token, then the usage, then the end marker. */
function frameOf({ id }: StreamAttempt, offset: number): Frame {
  if (offset > ANSWER.length) return { kind: 'end' };
  return { kind: 'data', attempt: id, offset, data: ANSWER[offset] ?? USAGE };
}

function applyStep(
  world: StreamsWorld,
  step: StreamsStep,
  protections: StreamsProtections,
): Outcome<StreamsWorld> {
  const next = step.kind === 'break' ? broken(world) : receive(world, step, protections);
  return { world: next, violations: violationsOf(next) };
}

function broken(world: StreamsWorld): StreamsWorld {
  const budget = { ...world.budget, breaks: world.budget.breaks - 1 };
  return breakAttempt({ ...world, budget }, 'connection-broken');
}

/** Passes one frame to the production reader and acts on the result as the stream handler does. */
function receive(
  world: StreamsWorld,
  step: Extract<StreamsStep, { kind: 'frame' }>,
  protections: StreamsProtections,
): StreamsWorld {
  const { attempt } = world;
  if (attempt === null) return world;
  const received = [...world.received];
  let usageSeen = world.usageSeen;
  const handleData = (bytes: Buffer, start: number, end: number): FrameKind => {
    const text = bytes.toString('utf8', start, end);
    if (text !== USAGE) {
      if (usageSeen) return 'malformed';
      received.push(text);
      return 'token';
    }
    if (received.at(-1) !== ANSWER.at(-1)) return 'malformed';
    usageSeen = true;
    return 'usage';
  };
  const sink = { frame: handleData, done: () => {} };
  const reader = new FrameReader(attempt.id, world.nextOffset, MAX_FRAME_BYTES, sink);
  reader.push(Buffer.from(wireOf(step.frame, attempt, world.nextOffset, protections)));
  const { nextOffset } = reader;
  const moved = advance({ ...world, received, nextOffset, usageSeen }, step);
  const begun = received.length > 0 && !world.request.headersForwarded ? firstByte(moved) : moved;
  if (reader.fault !== null) return breakAttempt(begun, reader.fault);
  if (!reader.done) return begun;
  return usageSeen ? complete(begun) : breakAttempt(begun, 'ended-early');
}

/** A frame's bytes. Without the offset check every frame carries the expected attempt and offset. */
function wireOf(
  frame: Frame,
  attempt: StreamAttempt,
  expected: number,
  protections: StreamsProtections,
): string {
  if (frame.kind === 'end') return 'data: [DONE]\n\n';
  const id = protections.offsetCheck
    ? `${frame.attempt}:${frame.offset}`
    : `${attempt.id}:${expected}`;
  return `id: ${id}\ndata: ${frame.data}\n\n`;
}

function advance(
  world: StreamsWorld,
  { flaw }: Extract<StreamsStep, { kind: 'frame' }>,
): StreamsWorld {
  const { attempt, budget } = world;
  if (attempt === null) return world;
  const sent = flaw === null ? 1 : flaw === 'gaps' ? 2 : 0;
  return {
    ...world,
    attempt: { ...attempt, next: attempt.next + sent },
    budget: flaw === null ? budget : { ...budget, [flaw]: budget[flaw] - 1 },
  };
}

function firstByte(world: StreamsWorld): StreamsWorld {
  const attempt = world.attempt?.id ?? '';
  return feed(world, { kind: 'attempt', event: { kind: 'first-byte', attempt, status: 200 } });
}

function complete(world: StreamsWorld): StreamsWorld {
  const attempt = world.attempt?.id ?? '';
  const outputTokens = ANSWER.length;
  const event = { kind: 'completed', attempt, promptTokens: 10, outputTokens } as const;
  return feed({ ...world, ended: 'whole', attempt: null }, { kind: 'attempt', event });
}

function breakAttempt(world: StreamsWorld, reason: string): StreamsWorld {
  const attempt = world.attempt?.id ?? '';
  const event = {
    kind: 'broken',
    attempt,
    reason,
    deliveredTokens: world.nextOffset,
    headersForwarded: world.request.headersForwarded,
    version: null,
  } as const;
  const closed = { ...world, attempt: null, formerAttempt: attempt, usageSeen: false };
  return feed(closed, { kind: 'attempt', event });
}

const CONTEXT: RequestContext = {
  now: 0,
  entropy: 0,
  daemon: 'a',
  incarnation: 1,
  mayRetry: true,
  choose: () => ({ kind: 'dispatch', backend: 'engine-1', address: '127.0.0.1', port: 1 }),
  priorityOf: () => 1,
  retryAfterMs: () => 1_000,
  hasIncarnationEnded: () => false,
  isTracked: () => true,
};

function feed(world: StreamsWorld, event: RequestEvent): StreamsWorld {
  const { state, effects } = stepRequest(world.request, event, CONTEXT);
  let next: StreamsWorld = { ...world, request: state };
  for (const effect of effects) {
    if (effect.kind === 'dispatch') {
      const { attempt: id, resumeOffset } = effect;
      next = { ...next, attempt: { id, start: resumeOffset, next: resumeOffset } };
    }
    if (effect.kind === 'abort' || effect.kind === 'refuse') next = { ...next, ended: 'broken' };
  }
  return next;
}

function violationsOf(world: StreamsWorld): Violation[] {
  const { received, ended } = world;
  const isPrefix = received.every((token, index) => token === ANSWER[index]);
  const isComplete = received.length === ANSWER.length;
  if (isPrefix && (ended !== 'whole' || isComplete)) return [];
  const how = ended === null ? 'so far' : `and it ended ${ended}`;
  return [{ property: STREAMS_PROPERTY, detail: `the caller has "${received.join(' ')}" ${how}` }];
}

function describeStep(step: StreamsStep): string {
  if (step.kind === 'break') return 'the connection to the engine breaks';
  const flaw = step.flaw === null ? '' : ` (${step.flaw})`;
  if (step.frame.kind === 'end') return `end marker${flaw}`;
  const { attempt, offset, data } = step.frame;
  return `frame ${attempt}:${offset} ${data}${flaw}`;
}
