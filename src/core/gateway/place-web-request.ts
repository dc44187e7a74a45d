/**
 * Whether a request goes to a web server now or waits at the daemon for a moment. It goes where a slot is free,
 * as far as is known; where every server is full or has just turned calls away, it waits until the first of them
 * is expected to have room. What was held as long as it may be goes all the same: whether there is a place after
 * all is known best by the servers, and one that turns it away has not run it.
 */
import { MAX_HOLD_SHARE, type Placement } from './place-request.js';
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';

/** What the place is decided from. */
export interface WebPlaceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly nowMs: number;
  /** Within this an answer is in time. */
  readonly latencyBudgetMs: number;
  readonly elapsedMs: number;
  /** Whether a server may have run it. */
  readonly mayHaveRun: boolean;
  healthOf(id: string): ServerHealth;
  /** Requests of other daemons at a server, as far as they tell. */
  othersRunning(id: string): number;
}

/** The place of a request to a web service. */
export function placeWebRequest(input: WebPlaceInput): Placement {
  const open = input.candidates.filter(({ id }) => !input.excludedIds.has(id));
  const holdMs = MAX_HOLD_SHARE * (input.latencyBudgetMs - runMs(open, input)) - input.elapsedMs;
  if (open.length === 0 || input.mayHaveRun || holdMs <= 0)
    return { kind: 'go', slackMs: undefined };
  const roomInMs = Math.min(...open.map((server) => roomIn(server, input)));
  if (roomInMs <= 0) return { kind: 'go', slackMs: holdMs };
  return { kind: 'wait', slackMs: holdMs, roomInMs };
}

/** The time of an answer where nothing waits; 0 before one is known. */
function runMs(servers: readonly ServerRecord[], { healthOf }: WebPlaceInput): number {
  const known = servers
    .map(({ id }) => healthOf(id).responseMs ?? 0)
    .filter((spanMs) => spanMs > 0);
  return known.length === 0 ? 0 : Math.min(...known);
}

/** Until a server has a slot, as far as is known. */
function roomIn({ id, slots }: ServerRecord, input: WebPlaceInput): number {
  const health = input.healthOf(id);
  const skippedForMs = health.skippedForMs(input.nowMs);
  const running = health.openCalls + input.othersRunning(id);
  const beyond = Math.max(0, running + 1 - Math.max(1, slots));
  return Math.max(skippedForMs, (beyond * (health.responseMs ?? 0)) / Math.max(1, slots));
}
