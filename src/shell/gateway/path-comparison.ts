/**
 * Tells a server that accepts no connection from a daemon that is cut off: a cut-off daemon reaches no other server of the
 * service either.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import type { BackendConnections } from './backend-connections.js';

/** Other servers that are tried; several may be down at once. */
const MAX_OTHERS = 3;

/** Dependencies of the comparison. */
export interface PathComparisonOptions {
  readonly connections: Pick<BackendConnections, 'tryConnect'>;
  /** The ready servers of a service. */
  readonly readyOf: (service: string) => readonly ServerRecord[];
  /** A random number from 0 to below 1. */
  readonly random: () => number;
}

/** Compares the path to a server with the paths to others. */
export class PathComparison {
  readonly #options: PathComparisonOptions;

  constructor(options: PathComparisonOptions) {
    this.#options = options;
  }

  /** Whether another server of the service accepts a connection; true also where the service has no other. */
  async reachesOthers({ id, service }: ServerRecord): Promise<boolean> {
    const { connections, readyOf, random } = this.#options;
    const others = readyOf(service).filter((other) => other.id !== id);
    const first = Math.floor(random() * others.length);
    const inTurn = [...others.slice(first), ...others.slice(0, first)].slice(0, MAX_OTHERS);
    for (const { address } of inTurn) {
      if ((await connections.tryConnect(address)) === 'accepted') return true;
    }
    return others.length === 0;
  }
}
