/**
 * Chooses a plain web server: the one with the lowest expected cost among those not tried yet. The cost rises with the
 * calls per slot of the server; another zone costs a little, failures cost most.
 *
 * Where the calls of all daemons count, all daemons decide by the same figures, which are off by the calls that have
 * begun and ended since. Servers whose costs differ by less than this error are drawn at random, so that daemons do not
 * all choose the same one; the larger the difference, the more likely the cheaper server is chosen.
 */
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { WebServerLoad } from './web-server-load.js';

/** Cost when all slots are taken; each call, running or waiting, costs this divided by the number of slots. */
const FULL_COST = 8;
const OTHER_ZONE_COST = 0.6;
const FAILURE_COST = 6;
const SUSPECT_COST = 100;
/** Cost for each multiple of the fastest server's response time by which a server is slower. */
const SLOWNESS_COST = 0.5;

/** Input of the choice. */
export interface WebChoiceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly zone: string;
  readonly nowMs: number;
  /** Random number from 0 to 1, so that daemons break ties differently. */
  readonly entropy: number;
  healthOf(id: string): ServerHealth;
  /** The load from all daemons; absent where each daemon decides by its own calls. */
  readonly loadOf?: ((id: string) => WebServerLoad) | undefined;
}

interface Option {
  readonly server: ServerRecord;
  readonly cost: number;
  /** Standard deviation of the cost. */
  readonly stdDev: number;
}

/** The chosen server, or undefined when every one has been tried. */
export function chooseWebServer(input: WebChoiceInput): ServerRecord | undefined {
  const untried = input.candidates.filter((server) => !input.excludedIds.has(server.id));
  const fastestMs = fastestResponseMs(untried, input);
  const options = untried.map((server) => optionFor(server, input, fastestMs));
  const stdDev = options.reduce((sum, option) => sum + option.stdDev, 0) / options.length;
  return stdDev > 0 ? drawByCost(options, stdDev, input.entropy) : cheapest(options, input.entropy);
}

/** The cheapest server; one at random among equally cheap ones. */
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

/** Draws a server at random; lower cost relative to the error makes a server more likely. */
function drawByCost(
  options: readonly Option[],
  stdDev: number,
  entropy: number,
): ServerRecord | undefined {
  const lowest = Math.min(...options.map(({ cost }) => cost));
  // Costs are compared by their difference, and each of the two costs has an error of its own.
  const differenceStdDev = Math.SQRT2 * stdDev;
  const weights = options.map(({ cost }) => Math.exp((lowest - cost) / differenceStdDev));
  let remaining = entropy * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, option] of options.entries()) {
    remaining -= weights[index] ?? 0;
    if (remaining < 0) return option.server;
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

function optionFor(server: ServerRecord, input: WebChoiceInput, fastestMs: number): Option {
  const health = input.healthOf(server.id);
  const own = { calls: health.openCalls, stdDev: 0, slowness: 1 };
  const load = input.loadOf?.(server.id) ?? own;
  const slots = Math.max(1, server.slots);
  const hasResponseTimes = health.responseMs !== undefined && Number.isFinite(fastestMs);
  const usualTimeRatio = hasResponseTimes ? (health.responseMs ?? 0) / Math.max(1, fastestMs) : 1;
  const timeRatio = usualTimeRatio * load.slowness;
  let cost = SLOWNESS_COST * (timeRatio - 1) + FULL_COST * fillCost(load, slots, timeRatio);
  if (server.zone !== input.zone) cost += OTHER_ZONE_COST;
  cost += FAILURE_COST * health.failureRate;
  if (health.isSuspect(input.nowMs)) cost += SUSPECT_COST;
  return { server, cost, stdDev: (FULL_COST * load.stdDev) / slots };
}

/** Calls per slot. Calls without a slot wait for earlier answers, so they cost more at a slower server. */
function fillCost({ calls, stdDev }: WebServerLoad, slots: number, timeRatio: number): number {
  const fill = calls / slots;
  if (stdDev === 0 || fill <= 1) return fill;
  return 1 + (fill - 1) * Math.max(1, timeRatio);
}
