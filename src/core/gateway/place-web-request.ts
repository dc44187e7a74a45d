/**
 * Decides whether a request is sent to a web server now or held at the daemon. It is sent if a server is believed to
 * have a free slot. If every server is full or has just rejected calls, it is held until the first one is expected to
 * have a free slot. Once the maximum hold time is over it is sent anyway: only the servers know for certain whether
 * they have a free slot, and one that rejects the request has not run it.
 */
import { MAX_HOLD_SHARE, type Placement } from './place-request.js';
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';

/** Input to `placeWebRequest`. */
export interface WebPlaceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly nowMs: number;
  /** Time from arrival within which an answer counts as in time. */
  readonly latencyBudgetMs: number;
  readonly elapsedMs: number;
  /** Whether a server may already have run the request. */
  readonly mayHaveRun: boolean;
  healthOf(id: string): ServerHealth;
  /** Requests that other daemons report to be running at a server. */
  othersRunning(id: string): number;
}

/** Decides on a request to a web service. */
export function placeWebRequest(input: WebPlaceInput): Placement {
  const eligible = input.candidates.filter(({ id }) => !input.excludedIds.has(id));
  const holdMs =
    MAX_HOLD_SHARE * (input.latencyBudgetMs - runMs(eligible, input)) - input.elapsedMs;
  if (eligible.length === 0 || input.mayHaveRun || holdMs <= 0)
    return { kind: 'go', slackMs: undefined };
  const roomInMs = Math.min(...eligible.map((server) => timeToFreeSlotMs(server, input)));
  if (roomInMs <= 0) return { kind: 'go', slackMs: holdMs };
  return { kind: 'wait', slackMs: holdMs, roomInMs };
}

/** Shortest known response time of the servers; 0 before any is known. */
function runMs(servers: readonly ServerRecord[], { healthOf }: WebPlaceInput): number {
  const known = servers
    .map(({ id }) => healthOf(id).responseMs ?? 0)
    .filter((spanMs) => spanMs > 0);
  return known.length === 0 ? 0 : Math.min(...known);
}

/** Estimated time until a server has a free slot and accepts calls again. */
function timeToFreeSlotMs({ id, slots }: ServerRecord, input: WebPlaceInput): number {
  const health = input.healthOf(id);
  const skippedForMs = health.skippedForMs(input.nowMs);
  const running = health.openCalls + input.othersRunning(id);
  const excess = Math.max(0, running + 1 - Math.max(1, slots));
  return Math.max(skippedForMs, (excess * (health.responseMs ?? 0)) / Math.max(1, slots));
}
