/**
 * Chooses a plain web server: the one with the lowest expected cost among those not tried yet. A
 * slot taken counts more the fuller the server is, another zone costs a little, failures cost most.
 *
 * Where the work of other daemons counts, all of them see the same figures, and all are wrong by what has come and gone
 * since. Servers whose costs differ by less than that are taken by turns of chance, so that daemons do not all
 * choose the same one; the further apart they are, the more surely the better one is chosen.
 */
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { WebServerLoad } from './web-server-load.js';

/** Cost of all slots taken, and of each further call that waits for one, by the server's slots. */
const FULL_COST = 8;
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
  /** The work of all daemons there; absent where each daemon goes by its own calls. */
  readonly loadOf?: ((id: string) => WebServerLoad) | undefined;
}

interface Option {
  readonly server: ServerRecord;
  readonly cost: number;
  /** By how much the cost is likely to be wrong. */
  readonly stdDev: number;
}

/** The chosen server, or undefined when every one has been tried. */
export function chooseWebServer(input: WebChoiceInput): ServerRecord | undefined {
  const open = input.candidates.filter((server) => !input.excludedIds.has(server.id));
  const fastestMs = fastestResponseMs(open, input);
  const options = open.map((server) => optionOf(server, input, fastestMs));
  const stdDev = options.reduce((sum, option) => sum + option.stdDev, 0) / options.length;
  return stdDev > 0 ? drawn(options, stdDev, input.entropy) : cheapest(options, input.entropy);
}

/** The cheapest; of those that are as cheap, one by chance. */
function cheapest(options: readonly Option[], entropy: number): ServerRecord | undefined {
  const offset = Math.floor(entropy * options.length);
  let chosen: Option | undefined;
  for (let index = 0; index < options.length; index += 1) {
    const option = options[(index + offset) % options.length];
    if (option === undefined) continue;
    if (chosen === undefined || option.cost < chosen.cost) chosen = option;
  }
  return chosen?.server;
}

/** One by chance, the likelier the more cheaply it comes out against what may be wrong. */
function drawn(
  options: readonly Option[],
  stdDev: number,
  entropy: number,
): ServerRecord | undefined {
  const lowest = Math.min(...options.map(({ cost }) => cost));
  // What is compared is a difference of two costs, each of which may be wrong by itself.
  const differenceSpread = Math.SQRT2 * stdDev;
  const weights = options.map(({ cost }) => Math.exp((lowest - cost) / differenceSpread));
  let left = entropy * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, option] of options.entries()) {
    left -= weights[index] ?? 0;
    if (left < 0) return option.server;
  }
  return options.at(-1)?.server;
}

function fastestResponseMs(servers: readonly ServerRecord[], input: WebChoiceInput): number {
  let fastest = Number.POSITIVE_INFINITY;
  for (const server of servers) {
    fastest = Math.min(fastest, input.healthOf(server.id).responseMs ?? Number.POSITIVE_INFINITY);
  }
  return fastest;
}

function optionOf(server: ServerRecord, input: WebChoiceInput, fastestMs: number): Option {
  const health = input.healthOf(server.id);
  const own = { calls: health.openCalls, stdDev: 0, slowness: 1 };
  const load = input.loadOf?.(server.id) ?? own;
  const slots = Math.max(1, server.slots);
  const isTimed = health.responseMs !== undefined && Number.isFinite(fastestMs);
  const usualTimes = isTimed ? (health.responseMs ?? 0) / Math.max(1, fastestMs) : 1;
  const times = usualTimes * load.slowness;
  let cost = SLOWNESS_COST * (times - 1) + FULL_COST * fillCost(load, slots, times);
  if (server.zone !== input.zone) cost += OTHER_ZONE_COST;
  cost += FAILURE_COST * health.failureRate;
  if (health.isSuspect(input.nowMs)) cost += SUSPECT_COST;
  return { server, cost, stdDev: (FULL_COST * load.stdDev) / slots };
}

/** Calls to the slots; who waits for a slot waits for the answers of those before, so longer at a slower server. */
function fillCost({ calls, stdDev }: WebServerLoad, slots: number, times: number): number {
  const fill = calls / slots;
  if (stdDev === 0 || fill <= 1) return fill;
  return 1 + (fill - 1) * Math.max(1, times);
}
