/** Compares the outcomes that callers saw for their orders with the runs in the servers' ledgers. */
import { z } from 'zod';
import type { Outcome } from '../load/index.js';
import type { Arrival } from '../workload/index.js';
import { getJson } from './http-json.js';
import type { RunningBackend } from './running-fleet.js';

const ledgerSchema = z.object({
  keys: z.array(z.object({ key: z.string(), runs: z.int() })),
});

/** The result of the comparison; every count except `compared` must be 0. */
export interface OrderFindings {
  readonly compared: number;
  /** Orders that ran more than once, summed over all servers. */
  readonly runTwice: number;
  /** Orders that ran although their caller received "refused: not run". */
  readonly refusedButRun: number;
  /** Orders that no server ran although their caller received a complete answer. */
  readonly finishedButNotRun: number;
  /** Servers whose ledger could not be read. */
  readonly serversNotAsked: number;
}

/** Records the outcome of every order of a load. */
export class OrderCheck {
  private readonly outcomes = new Map<string, Outcome>();

  /** Records the final outcome of a request if it is an order. */
  recordOutcome({ request }: Arrival, outcome: Outcome): void {
    if (request.kind === 'web-order') this.outcomes.set(request.requestKey, outcome);
  }

  /** Reads the ledgers of all servers and compares them with the outcomes. */
  async compare(servers: readonly RunningBackend[]): Promise<OrderFindings> {
    const ledgers = await Promise.all(servers.map(readLedger));
    const runs = new Map<string, number>();
    for (const { key, runs: count } of ledgers.flatMap((ledger) => ledger ?? [])) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
    return {
      ...compareOrders(this.outcomes, runs),
      serversNotAsked: ledgers.filter((ledger) => ledger === null).length,
    };
  }
}

/** Compares outcomes with run counts, both by the order's request key. */
export function compareOrders(
  outcomes: ReadonlyMap<string, Outcome>,
  runs: ReadonlyMap<string, number>,
): Omit<OrderFindings, 'serversNotAsked'> {
  const keysWith = (kind: Outcome['kind']): string[] =>
    [...outcomes].filter(([, outcome]) => outcome.kind === kind).map(([key]) => key);
  return {
    compared: outcomes.size,
    runTwice: [...runs.values()].filter((count) => count > 1).length,
    refusedButRun: keysWith('refused').filter((key) => runs.has(key)).length,
    finishedButNotRun: keysWith('finished').filter((key) => !runs.has(key)).length,
  };
}

async function readLedger({ endpoint }: RunningBackend) {
  const answer = await getJson(endpoint, '/ledger').catch(() => null);
  return ledgerSchema.safeParse(answer?.json).data?.keys ?? null;
}
