/** Sends a workload to daemons as an open loop and reports the outcomes. */
import { setMaxListeners } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/common/time.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { formatEndpoint } from '../../shell/settings/index.js';
import { type Arrival, arrivals, type Workload } from '../workload/index.js';
import { call } from './call.js';
import type { Outcome } from './outcome.js';
import { type LoadReport, type OutcomeCounts, Tally } from './tally.js';

/** Maximum connections to one daemon; further requests wait in the load tool. */
const CONNECTIONS_PER_TARGET = 512;

/** Options of a load. */
export interface LoadOptions {
  readonly workload: Workload;
  /** The daemons' addresses for callers; requests are sent to them round-robin. */
  readonly targets: readonly Endpoint[];
  /** Maximum retries of a request after refusals with `Retry-After`. */
  readonly maxRetries: number;
  /** Time after the last request was sent at which requests in flight are aborted. */
  readonly finalTimeoutMs: Milliseconds;
  /** Ends the load early and aborts the requests in flight. */
  readonly signal?: AbortSignal;
  /** Called with the final outcome of each request. */
  readonly onOutcome?: (arrival: Arrival, outcome: Outcome) => void;
}

/** The progress of a load. */
export interface LoadProgress extends OutcomeCounts {
  readonly sent: number;
  readonly inFlight: number;
  readonly outputTokens: number;
  /** The phase of the last request sent. */
  readonly phase: string;
  readonly elapsedMs: Milliseconds;
}

/** One run of a workload. */
export class Load {
  private readonly tally = new Tally();
  private readonly inFlight = new Set<Promise<void>>();
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_TARGET, pipelining: 1 });
  private readonly abortController = new AbortController();
  private startedAt: Milliseconds = 0;
  private phase = '';

  constructor(private readonly options: LoadOptions) {}

  /** Sends all requests and waits for their outcomes. */
  async run(): Promise<LoadReport> {
    const { workload, signal } = this.options;
    // Each call in flight adds a listener, so no limit applies and the leak warning is disabled.
    setMaxListeners(0, this.abortController.signal);
    signal?.addEventListener('abort', () => this.abortController.abort(), { once: true });
    this.startedAt = performance.now();
    for (const arrival of arrivals(workload)) {
      await this.waitUntil(this.startedAt + arrival.atMs);
      if (this.abortController.signal.aborted) break;
      this.start(arrival);
    }
    await this.finish();
    const durationMs = performance.now() - this.startedAt;
    return this.tally.report(workload.name, workload.seed, durationMs);
  }

  /** The counts so far. */
  progress(): LoadProgress {
    const elapsedMs = performance.now() - this.startedAt;
    const { phase } = this;
    return { ...this.tally.counts(), inFlight: this.inFlight.size, phase, elapsedMs };
  }

  private async waitUntil(at: Milliseconds): Promise<void> {
    const delayMs = at - performance.now();
    if (delayMs <= 0) return;
    await wait(delayMs, undefined, { signal: this.abortController.signal }).catch(() => undefined);
  }

  private start(arrival: Arrival): void {
    this.phase = arrival.phase;
    this.tally.recordSent();
    const running = this.callWithRetries(arrival).finally(() => this.inFlight.delete(running));
    this.inFlight.add(running);
  }

  /** Makes the call and retries after refusals, up to `maxRetries` times. */
  private async callWithRetries(arrival: Arrival): Promise<void> {
    const startedAt = performance.now();
    for (let attempt = 0; ; attempt += 1) {
      const outcome = await this.callOnce(arrival, attempt);
      const mayRetry = outcome.kind === 'refused' && attempt < this.options.maxRetries;
      if (!mayRetry || outcome.retryAfterMs === null || this.abortController.signal.aborted) {
        this.tally.recordOutcome(arrival, outcome, performance.now() - startedAt);
        this.options.onOutcome?.(arrival, outcome);
        return;
      }
      await this.waitUntil(performance.now() + outcome.retryAfterMs);
      this.tally.recordRetry();
    }
  }

  private callOnce(arrival: Arrival, attempt: number): Promise<Outcome> {
    const target = this.options.targets[(arrival.index + attempt) % this.options.targets.length];
    if (target === undefined) throw new Error('a load needs at least one target');
    const sentAt = performance.now();
    let lastTokenAt: Milliseconds | null = null;
    const observer = {
      onToken: (at: Milliseconds) => {
        if (lastTokenAt === null) this.tally.recordFirstToken(at - sentAt);
        else this.tally.recordTokenGap(at - lastTokenAt);
        lastTokenAt = at;
      },
    };
    const origin = `http://${formatEndpoint(target)}`;
    return call(arrival, {
      agent: this.agent,
      origin,
      signal: this.abortController.signal,
      observer,
    });
  }

  private async finish(): Promise<void> {
    const finalTimeout = setTimeout(
      () => this.abortController.abort(),
      this.options.finalTimeoutMs,
    );
    await Promise.all(this.inFlight);
    clearTimeout(finalTimeout);
    await this.agent.destroy();
  }
}
