/**
 * The engine where a shared part is read first. Faster engines are the home of as many more parts; engines of one pace
 * share them evenly, whatever that pace is.
 */
import { rendezvousWeight } from './rendezvous.js';
import type { ServerRecord } from './server-directory.js';

/** Parts move when a pace goes from one class to another, so that small changes of belief move none. */
const CLASSES_FOR_DOUBLE = 2;
/** One more than the highest weight. */
const WEIGHT_RANGE = 2 ** 32;

interface Leader {
  readonly server: ServerRecord;
  readonly weight: number;
}

/** The home of a part, the same for all daemons that list the same engines and know them to be as fast. */
export function homeOf(
  partId: string,
  servers: readonly ServerRecord[],
  paceOf: (id: string) => number = () => 1,
): ServerRecord | undefined {
  const leaders = new Map<number, Leader>();
  for (const server of servers) {
    const weight = rendezvousWeight(partId, server.id);
    const paceClass = classOf(paceOf(server.id));
    const leader = leaders.get(paceClass);
    if (leader === undefined || weight > leader.weight) leaders.set(paceClass, { server, weight });
  }
  return firstOf(leaders)?.server;
}

/** Engines within a class go by their weights alone, so only the leaders of classes are compared. */
function firstOf(leaders: ReadonlyMap<number, Leader>): Leader | undefined {
  let first: Leader | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const [paceClass, leader] of leaders) {
    const pace = 2 ** (paceClass / CLASSES_FOR_DOUBLE);
    const cost = -Math.log((leader.weight + 0.5) / WEIGHT_RANGE) / pace;
    if (cost >= least) continue;
    first = leader;
    least = cost;
  }
  return first;
}

function classOf(pace: number): number {
  return pace === 1 ? 0 : Math.round(Math.log2(pace) * CLASSES_FOR_DOUBLE);
}
