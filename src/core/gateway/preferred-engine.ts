/**
 * The engine where a shared part is read first. All that follow wait for that read, so slow engines are the home of few
 * parts; engines of one pace share them evenly, whatever that pace is.
 */
import { rendezvousWeights } from './rendezvous.js';
import type { ServerRecord } from './server-directory.js';

/**
 * An engine of half the pace is the home of an eighth of the parts. Where it would be that of half as many, requests would
 * pass their home over for a faster engine, each for another one.
 */
const WEIGHT_EXPONENT = 3;
/** Half a double is as near to the next. */
const STAYING_DOUBLES = 0.7;
/** One more than the highest weight. */
const WEIGHT_RANGE = 2 ** 32;

interface Leader {
  readonly server: ServerRecord;
  readonly weight: number;
}

/** The home of a part, the same for all daemons that list the same engines and count them by the same paces. */
export function preferredEngineOf(
  partId: string,
  servers: readonly ServerRecord[],
  quantizedPaceOf: (id: string) => number = () => 1,
): ServerRecord | undefined {
  const weightOf = rendezvousWeights(partId);
  const leaders = new Map<number, Leader>();
  for (const server of servers) {
    const weight = weightOf(server.id);
    const pace = quantizedPaceOf(server.id);
    const leader = leaders.get(pace);
    if (leader === undefined || weight > leader.weight) leaders.set(pace, { server, weight });
  }
  return firstOf(leaders)?.server;
}

/** Engines of one pace go by their weights alone, so only the leaders of each pace are compared. */
function firstOf(leaders: ReadonlyMap<number, Leader>): Leader | undefined {
  let first: Leader | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const [pace, leader] of leaders) {
    const cost = -Math.log((leader.weight + 0.5) / WEIGHT_RANGE) / pace ** WEIGHT_EXPONENT;
    if (cost >= least) continue;
    first = leader;
    least = cost;
  }
  return first;
}

/**
 * The pace by which an engine counts as a home: halves and doubles of the usual one, so that small changes of belief move
 * no part.
 * @param current by which it counts until now; it stays while the pace is not well nearer to another
 */
export function quantizedPace(pace: number, current: number): number {
  const doubles = Math.log2(pace);
  const isNear = Math.abs(doubles - Math.log2(current)) <= STAYING_DOUBLES;
  return isNear ? current : 2 ** Math.round(doubles);
}
