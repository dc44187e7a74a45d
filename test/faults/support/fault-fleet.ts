/** A fleet of real processes for fault tests, with the queries and commands that the tests need. */
import assert from 'node:assert/strict';
import type { ChangeOutcome } from '../../../src/core/configuration/change-outcome.js';
import type { Row } from '../../../src/core/language/index.js';
import type { TableRow } from '../../../src/core/platform/table.js';
import type { EngineReport } from '../../../src/core/registry/backend.js';
import { getJson, postJson } from '../../../src/lab/fleet/http-json.js';
import { RunningFleet } from '../../../src/lab/fleet/index.js';
import type { RunningBackend, RunningDaemonPart } from '../../../src/lab/fleet/running-fleet.js';
import { eventually, eventuallyTrue } from './eventually.js';
import { type FleetShape, fleetOf } from './fleet-definition.js';

/** An engine's own record of what it ran. */
export interface EngineLedger {
  readonly counts: Readonly<Record<'active' | 'finished' | 'cancelled' | 'cut' | 'lost', number>>;
  readonly entries: readonly {
    readonly attempt: string;
    readonly boot: string;
    readonly outcome: string;
  }[];
}

/** The fields of a daemon's status that tests use. */
export interface DaemonStatus {
  readonly state: string;
  readonly configurationVersion: number;
  readonly store: string;
  readonly requestsRunning: number;
}

/** Options of a change. */
export interface ChangeOptions {
  readonly id?: string;
  readonly ifVersion?: number;
}

/** A running fleet. */
export class FaultFleet {
  private constructor(readonly parts: RunningFleet) {}

  /** Starts a fleet; it is killed when the test process exits or gets SIGTERM. */
  static async start(shape: FleetShape): Promise<FaultFleet> {
    const parts = new RunningFleet(fleetOf(shape), {
      logFolder: process.env.THREADFORK_FAULT_LOGS ?? null,
      signal: new AbortController().signal,
      onStep: () => undefined,
    });
    process.once('exit', () => void parts.kill());
    process.once('SIGTERM', () => process.exit(1));
    await parts.start().catch(async (error: unknown) => {
      await parts.kill();
      throw error;
    });
    return new FaultFleet(parts);
  }

  /** Kills all parts. Fails if a part ended by itself before. */
  async end(): Promise<void> {
    const { problems } = this.parts;
    await this.parts.kill();
    assert.deepEqual(problems, []);
  }

  daemon(name: string): RunningDaemonPart {
    return named(this.parts.daemons, name);
  }

  engine(name: string): RunningBackend {
    return named(this.parts.engines, name);
  }

  web(name: string): RunningBackend {
    return named(this.parts.webs, name);
  }

  /** The daemons other than the named one. */
  otherDaemons(name: string): readonly RunningDaemonPart[] {
    return this.parts.daemons.filter((daemon) => daemon.name !== name);
  }

  /** Sends a query in the operator language to a daemon. */
  async query(daemon: RunningDaemonPart, text: string): Promise<readonly Row[]> {
    const { status, json } = await postJson(daemon.operators, '/v1/query', { text });
    if (status !== 200) throw new Error(`${text}: ${status} ${JSON.stringify(json)}`);
    return (json as { rows: readonly Row[] }).rows;
  }

  /** Sends commands to a daemon. */
  async change(
    daemon: RunningDaemonPart,
    text: string,
    options: ChangeOptions = {},
  ): Promise<ChangeOutcome> {
    const { json } = await postJson(daemon.operators, '/v1/commands', { text, ...options });
    return json as ChangeOutcome;
  }

  /** Sends commands that must be applied; returns the configuration version under which they are. */
  async apply(daemon: RunningDaemonPart, text: string): Promise<number> {
    const outcome = await this.change(daemon, text);
    assert.equal(outcome.kind, 'applied', JSON.stringify(outcome));
    return outcome.kind === 'applied' ? outcome.version : 0;
  }

  async status(daemon: RunningDaemonPart): Promise<DaemonStatus> {
    return (await getJson(daemon.operators, '/v1/status')).json as DaemonStatus;
  }

  /** Whether a daemon reports that it is ready for requests. */
  async isReady(daemon: RunningDaemonPart): Promise<boolean> {
    return (await getJson(daemon.callers, '/readyz')).status === 200;
  }

  /** The sum of a metric's samples whose line contains the given label text; null if there is none. */
  async metric(daemon: RunningDaemonPart, name: string, labels = ''): Promise<number | null> {
    const text = await getText(daemon, '/metrics');
    const samples = text
      .split('\n')
      .filter((line) => line.startsWith(`${name}{`) && line.includes(labels));
    if (samples.length === 0) return null;
    return samples.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
  }

  async ledger({ endpoint }: RunningBackend): Promise<EngineLedger> {
    return (await getJson(endpoint, '/ledger')).json as EngineLedger;
  }

  async report({ endpoint }: RunningBackend): Promise<EngineReport> {
    return (await getJson(endpoint, '/control/report')).json as EngineReport;
  }

  /** Number of attempts that orders have cut, by the engines' own counts. */
  async cutAttempts(): Promise<number> {
    const ledgers = await Promise.all(this.parts.engines.map((engine) => this.ledger(engine)));
    return ledgers.reduce((sum, { counts }) => sum + counts.cut, 0);
  }

  /** How often an order ran, at all order servers together. */
  async orderRuns(key: string): Promise<number> {
    const ledgers = await Promise.all(
      this.parts.webs.map(async ({ endpoint }) => (await getJson(endpoint, '/ledger')).json),
    );
    const rows = ledgers.flatMap((ledger) => (ledger as WebLedger).keys);
    return rows.filter((row) => row.key === key).reduce((sum, { runs }) => sum + runs, 0);
  }

  /** Number of orders that an order server has run. */
  async ordersTaken({ endpoint }: RunningBackend): Promise<number> {
    return ((await getJson(endpoint, '/ledger')).json as WebLedger).total;
  }

  /** Waits until an engine runs an attempt of a request; returns the engine. */
  async engineRunning(requestId: string): Promise<RunningBackend> {
    return eventually(`an engine to run ${requestId}`, async () => {
      for (const engine of this.parts.engines) {
        if (engine.process.hasExited) continue;
        const { entries } = await this.ledger(engine);
        if (entries.some((entry) => isActive(entry, requestId))) return engine;
      }
      return null;
    });
  }

  /** Waits until an engine's ledger has an attempt as cancelled; fails with the ledgers of all engines. */
  async waitUntilCancelled(engine: RunningBackend, attempt: string): Promise<void> {
    try {
      await eventuallyTrue(`${attempt} to be cancelled at ${engine.name}`, async () => {
        const { entries } = await this.ledger(engine);
        return entries.some((entry) => entry.attempt === attempt && entry.outcome === 'cancelled');
      });
    } catch (cause) {
      const ledgers = await Promise.all(
        this.parts.engines.map(async (seen) => [seen.name, (await this.ledger(seen)).entries]),
      );
      throw new Error(`${attempt} was not cancelled: ${JSON.stringify(ledgers)}`, { cause });
    }
  }

  /** A row of the table, read directly from the platform; null if it is absent. */
  async tableRow(key: string): Promise<TableRow | null> {
    const { json } = await postJson(this.parts.platform, '/table/get', { keys: [key] });
    const row = (json as { rows: readonly TableRow[] }).rows[0];
    return row === undefined || row.value === null ? null : row;
  }

  /** Sets faults of the platform. */
  async platformFaults(faults: object): Promise<void> {
    const { status, json } = await postJson(this.parts.platform, '/faults', faults);
    assert.equal(status, 200, JSON.stringify(json));
  }

  /** Arms faults on an engine or web backend. */
  async backendFaults({ endpoint }: RunningBackend, faults: object): Promise<void> {
    const { status, json } = await postJson(endpoint, '/faults', faults);
    assert.equal(status, 200, JSON.stringify(json));
  }

  /** Waits until the table has a holder of a pool's lease; returns the daemon. */
  async leaseHolder(pool: string): Promise<RunningDaemonPart> {
    return eventually(`a holder of the lease of ${pool}`, async () => {
      const { holder } = await this.lease(pool);
      return holder === null ? null : this.daemon(holder);
    });
  }

  /** Waits until the table has a pool's lease; returns the lease. */
  async lease(pool: string): Promise<{ readonly holder: string | null; readonly epoch: number }> {
    const row = await eventually(`a lease of ${pool}`, () => this.tableRow(`lease/pool/${pool}`));
    return row.value as { holder: string | null; epoch: number };
  }

  /** Waits until an engine has accepted a fence of the epoch or a later one. */
  async waitUntilFenced(engine: RunningBackend, epoch: number): Promise<void> {
    await eventuallyTrue(`${engine.name} to be fenced by epoch ${epoch}`, async () => {
      const { fence } = await this.report(engine);
      return fence !== null && fence.epoch >= epoch;
    });
  }
}

interface WebLedger {
  readonly total: number;
  readonly keys: readonly { readonly key: string; readonly runs: number }[];
}

function isActive(entry: EngineLedger['entries'][number], requestId: string): boolean {
  return entry.attempt.startsWith(`${requestId}.`) && entry.outcome === 'active';
}

function named<T extends { readonly name: string }>(all: readonly T[], name: string): T {
  const found = all.find((candidate) => candidate.name === name);
  assert.ok(found, `there is no ${name}`);
  return found;
}

async function getText(daemon: RunningDaemonPart, path: string): Promise<string> {
  const { address, port } = daemon.callers;
  const answer = await fetch(`http://${address}:${port}${path}`);
  return answer.text();
}
