/** Callers for fault tests: single calls that can be observed while they run, and continuous traffic. */
import { Agent } from 'undici';
import type { Endpoint } from '../../../src/core/registry/backend.js';
import { call } from '../../../src/lab/load/call.js';
import type { Outcome } from '../../../src/lab/load/index.js';
import { type Arrival, arrivals, workloadSchema } from '../../../src/lab/workload/index.js';
import { eventuallyTrue } from './eventually.js';
import { MODEL, ORDER_PATH } from './fleet-definition.js';

/** A daemon or backend that callers connect to. */
export interface Target {
  readonly callers: Endpoint;
}

/** Options of a request to a model. */
export interface ModelRequest {
  readonly streamed: boolean;
  readonly outputTokens: number;
  readonly headers?: Readonly<Record<string, string>>;
}

const PROMPT_TOKENS = 30;
const NOT_REPEATABLE = { 'x-threadfork-repeatable': 'false' } as const;
/** Headers of a request that must run at most once. */
export const AT_MOST_ONCE: Readonly<Record<string, string>> = NOT_REPEATABLE;

/** Traffic stops after this many calls that did not finish, so that it ends when the fleet is down. */
const MAX_OTHERS = 100;

let sentCalls = 0;
let startedTraffic = 0;

/** One call in progress, on its own connection unless a kept connection is given. */
export class RunningCall {
  /** How it ended; never rejects. */
  readonly outcome: Promise<Outcome>;
  /** Status of the response; null before its head. */
  status: number | null = null;
  /** The id that the daemon gave the request; null before the head of the response. */
  requestId: string | null = null;
  /** Number of tokens received so far. */
  tokens = 0;
  /** Set once the call has ended. */
  ended: Outcome | null = null;
  private readonly cancellation = new AbortController();

  constructor(
    target: Target,
    readonly request: Arrival['request'],
    headers: Readonly<Record<string, string>>,
    keptConnection?: Agent,
  ) {
    const agent = keptConnection ?? new Agent({ pipelining: 1 });
    sentCalls += 1;
    this.outcome = call(arrivalOf(sentCalls, request), {
      agent,
      origin: originOf(target),
      signal: this.cancellation.signal,
      headers,
      observer: {
        onToken: () => {
          this.tokens += 1;
        },
        onHead: (status, answerHeaders) => {
          this.status = status;
          this.requestId = String(answerHeaders['x-request-id']);
        },
      },
    }).then(async (outcome) => {
      this.ended = outcome;
      if (keptConnection === undefined) await agent.destroy();
      return outcome;
    });
  }

  /** Resolves to the request's id once this many tokens have been received; rejects if the call ends before. */
  async received(tokens: number): Promise<string> {
    await eventuallyTrue(`${tokens} tokens`, () => this.tokens >= tokens || this.ended !== null);
    if (this.tokens >= tokens && this.requestId !== null) return this.requestId;
    throw new Error(`ended after ${this.tokens} tokens: ${JSON.stringify(this.ended)}`);
  }

  /** Whether a streamed response was requested. */
  get isStreamed(): boolean {
    return this.request.kind === 'model' && this.request.streamed;
  }

  /** Closes the connection, as a caller that leaves. */
  leave(): void {
    this.cancellation.abort();
  }
}

/** A connection that is kept open between calls; one call at a time. */
export class KeptConnection {
  private readonly agent = new Agent({ pipelining: 1, connections: 1 });

  constructor(private readonly target: Target) {}

  /** Sends a request to a model over the connection, or over a new one if it has been closed. */
  sendModelRequest(request: ModelRequest): RunningCall {
    return sendModelRequest(this.target, request, this.agent);
  }
}

/** Sends a request to a model. */
export function sendModelRequest(
  target: Target,
  request: ModelRequest,
  agent?: Agent,
): RunningCall {
  const { streamed, outputTokens, headers = {} } = request;
  const seed = sentCalls + 1;
  const prompt = { tokens: PROMPT_TOKENS, prefixSeed: null, prefixTokens: 0, seed };
  const base = { kind: 'model', model: MODEL, adapter: null, chat: false } as const;
  return new RunningCall(target, { ...base, streamed, prompt, outputTokens }, headers, agent);
}

/** Sends an order, which must run at most once; with its key as Idempotency-Key unless `keyed` is false. */
export function sendOrder(target: Target, key: string, keyed = true): RunningCall {
  const request = { kind: 'web-order', path: ORDER_PATH, requestKey: key, keyed } as const;
  return new RunningCall(target, request, {});
}

/** Callers that send the next call as soon as the last one has ended, until they are stopped. */
export class Traffic {
  /** Outcomes other than `finished`. */
  readonly others: Outcome[] = [];
  finished = 0;
  private readonly agent = new Agent({ pipelining: 1 });
  private readonly requests: Generator<Arrival>;
  private readonly callers: Promise<void>[] = [];
  private isStopping = false;

  /** Starts callers that rotate through the targets; the set of targets may change meanwhile. */
  constructor(
    private readonly targets: () => readonly Target[],
    callers: number,
  ) {
    startedTraffic += 1;
    this.requests = arrivals({ ...TRAFFIC, name: `traffic-${startedTraffic}` });
    for (let n = 0; n < callers; n += 1) this.callers.push(this.callRepeatedly());
  }

  /** Waits until `count` more calls have finished. */
  async waitForFinished(count: number): Promise<void> {
    const wanted = this.finished + count;
    await eventuallyTrue(`${count} more finished calls`, () => this.finished >= wanted);
  }

  /** Stops sending and waits for all open calls. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.callers);
    await this.agent.destroy();
  }

  private async callRepeatedly(): Promise<void> {
    const never = new AbortController().signal;
    const observer = { onToken: () => undefined };
    while (!this.isStopping && this.others.length < MAX_OTHERS) {
      const arrival = this.requests.next().value as Arrival;
      const targets = this.targets();
      const target = targets[arrival.index % targets.length];
      if (target === undefined) throw new Error('traffic needs a target');
      const origin = originOf(target);
      const outcome = await call(arrival, { agent: this.agent, origin, signal: never, observer });
      if (outcome.kind === 'finished') this.finished += 1;
      else this.others.push(outcome);
    }
  }
}

/** An endless mix of requests for streamed and complete responses; the rates only determine the order of requests. */
const TRAFFIC = workloadSchema.parse({
  name: 'traffic',
  sources: [
    {
      kind: 'model',
      name: 'labels',
      model: MODEL,
      chatShare: 0.3,
      streamedShare: 0.5,
      promptTokens: { kind: 'uniform', low: 10, high: 200 },
      outputTokens: { kind: 'uniform', low: 10, high: 80 },
    },
    { kind: 'web-order', name: 'orders', path: ORDER_PATH, keyedShare: 0.3 },
  ],
  phases: [{ name: 'endless', durationMs: 1_000_000_000, rates: { labels: 100, orders: 20 } }],
});

function arrivalOf(index: number, request: Arrival['request']): Arrival {
  const source = TRAFFIC.sources[0];
  if (source === undefined) throw new Error('the traffic has a source');
  return { index, atMs: 0, source, phase: 'single', request };
}

function originOf({ callers }: Target): string {
  return `http://${callers.address}:${callers.port}`;
}
