/**
 * Chooses a plain web server: the one with the lowest expected cost among those not tried yet. A
 * slot taken counts more the fuller the server is, another zone costs a little, failures cost most.
 */
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';

const OTHER_ZONE_COST = 0.6;
const FAILURE_COST = 6;
const SUSPECT_COST = 100;
/** Cost of answers slower than the fastest server's, for each time as long. */
const SLOWNESS_COST = 0.5;

/** What the choice is made from. */
export interface WebChoiceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly zone: string;
  readonly nowMs: number;
  /** 0 to 1; breaks ties apart between daemons. */
  readonly entropy: number;
  healthOf(id: string): ServerHealth;
}

/** The chosen server, or undefined when every one has been tried. */
export function chooseWebServer(input: WebChoiceInput): ServerRecord | undefined {
  const open = input.candidates.filter((server) => !input.excludedIds.has(server.id));
  const fastestMs = fastestResponseMs(open, input);
  const offset = Math.floor(input.entropy * open.length);
  let chosen: ServerRecord | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (let index = 0; index < open.length; index += 1) {
    const server = open[(index + offset) % open.length];
    if (server === undefined) continue;
    const cost = costOf(server, input, fastestMs);
    if (cost < lowest) {
      lowest = cost;
      chosen = server;
    }
  }
  return chosen;
}

function fastestResponseMs(servers: readonly ServerRecord[], input: WebChoiceInput): number {
  let fastest = Number.POSITIVE_INFINITY;
  for (const server of servers) {
    fastest = Math.min(fastest, input.healthOf(server.id).responseMs ?? Number.POSITIVE_INFINITY);
  }
  return fastest;
}

function costOf(server: ServerRecord, input: WebChoiceInput, fastestMs: number): number {
  const health = input.healthOf(server.id);
  let cost = (8 * health.openCalls) / Math.max(1, server.slots);
  if (server.zone !== input.zone) cost += OTHER_ZONE_COST;
  cost += FAILURE_COST * health.failureRate;
  if (health.isSuspect(input.nowMs)) cost += SUSPECT_COST;
  if (health.responseMs !== undefined && Number.isFinite(fastestMs)) {
    cost += SLOWNESS_COST * (health.responseMs / Math.max(1, fastestMs) - 1);
  }
  return cost;
}
