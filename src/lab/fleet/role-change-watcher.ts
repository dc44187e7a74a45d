/** Records role changes by polling the reports of the engines. */
import { setMaxListeners } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { z } from 'zod';
import type { Endpoint, EngineRole } from '../../core/registry/backend.js';
import { getJson } from './http-json.js';

/** Shorter than a role change takes, so that no change is missed. */
const POLL_INTERVAL_MS = 250;

const reportSchema = z.object({
  role: z.enum(['prefill', 'decode', 'mixed']),
  boot: z.string(),
});

/** An engine to watch. */
export interface WatchedEngine {
  readonly name: string;
  readonly endpoint: Endpoint;
}

/** One role change. */
export interface RoleChange {
  readonly engine: string;
  readonly from: EngineRole;
  readonly to: EngineRole;
  /** Time since the start of the watch. */
  readonly atMs: number;
}

/** Polls the report of each engine until it is stopped. */
export class RoleChangeWatcher {
  readonly changes: RoleChange[] = [];
  /** Resolves when each engine has been polled once; changes are recorded from then on. */
  readonly firstPoll: Promise<unknown>;
  private readonly seen = new Map<string, z.infer<typeof reportSchema>>();
  private readonly startedAt = performance.now();
  private readonly stopped = new AbortController();
  private readonly running: Promise<unknown>;

  constructor(engines: readonly WatchedEngine[]) {
    // One timer per engine listens to this signal; the limit avoids the leak warning.
    setMaxListeners(engines.length, this.stopped.signal);
    this.firstPoll = Promise.all(engines.map((engine) => this.poll(engine)));
    this.running = this.firstPoll.then(() =>
      Promise.all(engines.map((engine) => this.watch(engine))),
    );
  }

  /** Polls each engine a last time and stops. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async watch(engine: WatchedEngine): Promise<void> {
    do {
      await wait(POLL_INTERVAL_MS, undefined, { signal: this.stopped.signal }).catch(
        () => undefined,
      );
      await this.poll(engine);
    } while (!this.stopped.signal.aborted);
  }

  private async poll({ name, endpoint }: WatchedEngine): Promise<void> {
    const answer = await getJson(endpoint, '/control/report').catch(() => null);
    const report = reportSchema.safeParse(answer?.json).data;
    if (report === undefined) return;
    const before = this.seen.get(name);
    this.seen.set(name, report);
    if (before === undefined || before.boot !== report.boot || before.role === report.role) return;
    const atMs = performance.now() - this.startedAt;
    this.changes.push({ engine: name, from: before.role, to: report.role, atMs });
  }
}
