/**
 * The preferred engine of a shared prompt part: where it is read first. All requests with the same part wait for that
 * read, so slow engines are preferred for few parts. Engines of the same pace get equal numbers of parts.
 */
import { rendezvousWeights } from './rendezvous.js';
import type { ServerRecord } from './server-directory.js';

/**
 * Weight of an engine by its pace, as a power: an engine of half the pace is preferred for an eighth as many parts. With
 * half as many, requests would skip their slow preferred engine, each for a different faster one.
 */
const WEIGHT_EXPONENT = 3;
/**
 * Distance from the current quantized pace, in doublings, up to which it is kept. Half a doubling is equally near to the
 * next value; the rest is hysteresis.
 */
const HYSTERESIS_DOUBLINGS = 0.7;
/** One more than the highest rendezvous weight. */
const WEIGHT_RANGE = 2 ** 32;

interface Leader {
  readonly server: ServerRecord;
  readonly weight: number;
}

/** The preferred engine of a part; the same at all daemons that have the same engines and quantized paces. */
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
  return preferredAmong(leaders)?.server;
}

/** Among engines of one pace the highest weight wins, so only the leader of each pace is compared. */
function preferredAmong(leaders: ReadonlyMap<number, Leader>): Leader | undefined {
  let preferred: Leader | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const [pace, leader] of leaders) {
    const cost = -Math.log((leader.weight + 0.5) / WEIGHT_RANGE) / pace ** WEIGHT_EXPONENT;
    if (cost >= lowestCost) continue;
    preferred = leader;
    lowestCost = cost;
  }
  return preferred;
}

/**
 * Rounds a pace to a power of two, so that small changes of the estimate do not change the preferred engine of a part.
 * @param current the quantized pace until now; kept unless the pace is clearly nearer to another power of two
 */
export function quantizedPace(pace: number, current: number): number {
  const log2Pace = Math.log2(pace);
  const isNear = Math.abs(log2Pace - Math.log2(current)) <= HYSTERESIS_DOUBLINGS;
  return isNear ? current : 2 ** Math.round(log2Pace);
}
