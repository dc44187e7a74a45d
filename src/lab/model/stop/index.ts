/**
 * The stop model: a daemon's complete reducer with two open requests and a planned stop at any moment.
 * The reducer mutates its traffic state in place, so a world is stored as the history of its steps, and
 * each step replays the history.
 */
import {
  createDaemonState,
  type DaemonEffect,
  type DaemonEvent,
  type DaemonState,
  stepDaemon,
} from '../../../core/daemon/index.js';
import type { TableCall } from '../../../core/platform/table.js';
import type { WebMachine } from '../../../core/registry/backend.js';
import type { AttemptEvent, RequestDescription } from '../../../core/requests/index.js';
import type { Model, Outcome, Violation } from '../explorer.js';
import { applyCall, EMPTY_TABLE, type ModelTable } from '../table.js';

/** The name of the stop model's property. */
export const STOP_PROPERTY = '8 a planned stop cuts a request';

/** Protections that a mutation removes. */
export interface StopProtections {
  /** A stopping daemon exits only once it has no open requests. */
  readonly drain: boolean;
}

const REQUESTS = ['a-1-1', 'a-1-2'] as const;
const TICK_MS = 500;
const MAX_TICKS = 2;
const MACHINE: WebMachine = {
  kind: 'web',
  name: 'orders-1',
  zone: 'leiden-a',
  state: 'live',
  address: '127.0.0.1',
  port: 1,
  service: 'orders',
};

interface StopStep {
  readonly kind:
    | 'arrive'
    | 'first-byte'
    | 'complete'
    | 'break'
    | 'caller-gone'
    | 'table-answers'
    | 'table-answer-lost'
    | 'stop'
    | 'tick';
  /** The index of the request that the step concerns; -1 for none. */
  readonly request: number;
}

/** The state of a request as the caller and the backend see it. */
interface SeenRequest {
  readonly hasArrived: boolean;
  /** The caller has its final answer, or has disconnected. */
  readonly isAnswered: boolean;
  readonly isBegun: boolean;
  /** The attempt that runs at the backend; null for none. */
  readonly attempt: string | null;
  readonly call: { readonly token: string; readonly call: TableCall } | null;
}

interface StopWorld {
  readonly history: readonly StopStep[];
  readonly requests: readonly SeenRequest[];
  readonly ticks: number;
  readonly stopped: boolean;
  readonly exited: boolean;
  /** The reducer's state of the requests, as text. */
  readonly held: string;
}

/** Builds the stop model. */
export function stopModel(
  name: string,
  protections: StopProtections = { drain: true },
): Model<StopWorld, StopStep> {
  return {
    name,
    initial: new Replay(protections).run([]).world,
    steps: stepsOf,
    apply: (world, step) => new Replay(protections).run([...world.history, step]),
    key: ({ history, ...rest }) => JSON.stringify(rest),
    describe: ({ kind, request }) => (request < 0 ? kind : `${kind} ${REQUESTS[request]}`),
    goals: ({ exited, requests }) => [
      ...(exited ? ['exited'] : []),
      ...(requests.every(({ isAnswered }) => isAnswered) ? ['all answered'] : []),
    ],
  };
}

function stepsOf(world: StopWorld): StopStep[] {
  if (world.exited) return [];
  const steps: StopStep[] = [];
  if (!world.stopped) steps.push({ kind: 'stop', request: -1 });
  if (world.ticks < MAX_TICKS) steps.push({ kind: 'tick', request: -1 });
  for (const [request, seen] of world.requests.entries()) {
    // A connection that was open before the stop may still carry a new request.
    if (!seen.hasArrived) steps.push({ kind: 'arrive', request });
    if (seen.attempt !== null) {
      steps.push({ kind: 'complete', request }, { kind: 'break', request });
      if (!seen.isBegun) steps.push({ kind: 'first-byte', request });
    }
    if (seen.call !== null) {
      steps.push({ kind: 'table-answers', request }, { kind: 'table-answer-lost', request });
    }
    if (seen.hasArrived && !seen.isAnswered) steps.push({ kind: 'caller-gone', request });
  }
  return steps;
}

/** Runs a history through a new daemon. */
class Replay {
  readonly #protections: StopProtections;
  #state: DaemonState = createDaemonState({
    name: 'a',
    zone: 'leiden-a',
    incarnation: 1,
    peerEndpoint: { address: '127.0.0.1', port: 2 },
    seeds: [],
    maxWaitingPerClass: 10,
  });
  #table: ModelTable = EMPTY_TABLE;
  #requests: SeenRequest[] = REQUESTS.map(() => {
    return { hasArrived: false, isAnswered: false, isBegun: false, attempt: null, call: null };
  });
  #now = 0;
  #ticks = 0;
  #stopped = false;
  #exited = false;
  #violations: Violation[] = [];

  constructor(protections: StopProtections) {
    this.#protections = protections;
  }

  run(history: readonly StopStep[]): Outcome<StopWorld> {
    this.#feed({ kind: 'machines-listed', machines: [MACHINE] });
    for (const step of history) this.#performStep(step);
    const held = [...this.#state.traffic.requests.values()].map((state) => {
      const { phase, claim, attempts, brokenAttempts, detached } = state;
      const step = 'step' in phase ? phase.step : '';
      return [phase.kind, step, claim.kind, attempts, brokenAttempts, detached];
    });
    const world = {
      history,
      requests: this.#requests,
      ticks: this.#ticks,
      stopped: this.#stopped,
      exited: this.#exited,
      held: JSON.stringify(held),
    };
    return { world, violations: this.#violations };
  }

  #performStep(step: StopStep): void {
    const { request } = step;
    const id = REQUESTS[request] ?? '';
    switch (step.kind) {
      case 'arrive':
        this.#see(request, { hasArrived: true });
        this.#feed({ kind: 'request-arrived', description: describeRequest(request) });
        break;
      case 'first-byte':
        this.#see(request, { isBegun: true });
        this.#attempt(request, (attempt) => ({ kind: 'first-byte', attempt, status: 200 }));
        break;
      case 'complete':
        this.#see(request, { isAnswered: true });
        this.#end(request, (attempt) => {
          return { kind: 'completed', attempt, promptTokens: 0, outputTokens: 0 };
        });
        break;
      case 'break':
        this.#end(request, (attempt) => {
          const headersForwarded = this.#requests[request]?.isBegun === true;
          const reason = 'connection-broken';
          return {
            kind: 'broken',
            attempt,
            reason,
            deliveredTokens: 0,
            headersForwarded,
            version: null,
          };
        });
        break;
      case 'caller-gone':
        this.#see(request, { isAnswered: true });
        this.#feed({ kind: 'caller-gone', request: id });
        break;
      case 'table-answers':
      case 'table-answer-lost':
        this.#answerTable(request, step.kind === 'table-answer-lost');
        break;
      case 'stop':
        this.#stopped = true;
        this.#feed({ kind: 'stop' });
        if (!this.#protections.drain) this.#exit();
        break;
      case 'tick':
        this.#ticks += 1;
        this.#now += TICK_MS;
        this.#feed({ kind: 'tick' });
        break;
    }
  }

  #see(request: number, change: Partial<SeenRequest>): void {
    this.#requests = this.#requests.map((seen, index) => {
      return index === request ? { ...seen, ...change } : seen;
    });
  }

  #end(request: number, eventOf: (attempt: string) => AttemptEvent): void {
    const attempt = this.#requests[request]?.attempt ?? null;
    this.#see(request, { attempt: null });
    if (attempt === null) return;
    this.#feed({ kind: 'attempt', request: REQUESTS[request] ?? '', event: eventOf(attempt) });
  }

  #attempt(request: number, eventOf: (attempt: string) => AttemptEvent): void {
    const attempt = this.#requests[request]?.attempt ?? null;
    if (attempt === null) return;
    this.#feed({ kind: 'attempt', request: REQUESTS[request] ?? '', event: eventOf(attempt) });
  }

  #answerTable(request: number, isLost: boolean): void {
    const call = this.#requests[request]?.call ?? null;
    this.#see(request, { call: null });
    if (call === null) return;
    const { table, result } = applyCall(this.#table, call.call);
    this.#table = table;
    const answer = isLost ? ({ kind: 'lost', reason: 'timeout' } as const) : result;
    this.#feed({ kind: 'table-result', token: call.token, result: answer });
  }

  #feed(event: DaemonEvent): void {
    const { state, effects } = stepDaemon(this.#state, event, { now: this.#now, entropy: 0 });
    this.#state = state;
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: DaemonEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.#see(indexOf(effect.request), { attempt: effect.attempt });
        break;
      case 'cancel':
        this.#see(indexOf(effect.request), { attempt: null });
        break;
      case 'refuse':
      case 'abort':
      case 'replay':
        this.#see(indexOf(effect.request), { isAnswered: true });
        break;
      case 'table': {
        const request = REQUESTS.findIndex((id) => effect.token === `request:${id}`);
        if (request >= 0) this.#see(request, { call: { token: effect.token, call: effect.call } });
        break;
      }
      case 'stop-ready':
        this.#exit();
        break;
    }
  }

  /** The process exits: callers that still wait are cut off, and pending outcome records are lost. */
  #exit(): void {
    if (this.#exited) return;
    this.#exited = true;
    for (const [index, seen] of this.#requests.entries()) {
      const isCut = seen.hasArrived && (!seen.isAnswered || seen.attempt !== null);
      if (!isCut && seen.call === null) continue;
      const what = isCut ? 'waits for its answer' : 'has an outcome that is not recorded';
      const detail = `the daemon exits while ${REQUESTS[index]} ${what}`;
      this.#violations.push({ property: STOP_PROPERTY, detail });
    }
  }
}

function indexOf(request: string): number {
  return (REQUESTS as readonly string[]).indexOf(request);
}

/** The first request must not run twice and carries an idempotency key; the second is repeatable. */
function describeRequest(index: number): RequestDescription {
  const isKeyed = index === 0;
  return {
    id: REQUESTS[index] ?? '',
    tenant: 'roaster',
    className: 'interactive',
    target: { kind: 'web', service: 'orders' },
    streamed: false,
    repeatable: !isKeyed,
    idempotencyKey: isKeyed ? 'renewal-7' : null,
    bodyDigest: isKeyed ? 'digest' : null,
    arrivedAt: 0,
    deadline: 1_000_000,
  };
}
