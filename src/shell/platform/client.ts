/** The client of the platform's services: table, objects, weights and machine list. */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Milliseconds } from '../../core/common/time.js';
import { type Fault, outcomeUnknown, refusedNotRun } from '../../core/errors/fault.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import { machinesAnswerSchema } from './answers.js';
import { type Exchange, type ExchangeOptions, HttpConnectionPool } from './http-connection-pool.js';
import { parseJson } from './json.js';
import { type MachineEntries, readMachines } from './machine-entries.js';
import { DEFAULT_RETRY_AFTER_MS, retryAfterMs } from './retry-after.js';
import { tableRequest, tableResult } from './table-calls.js';

/** Identifies a version of a model, or of an adapter for a model. */
export interface WeightReference {
  readonly model: string;
  readonly version: string;
  /** Absent for the model's own weights. */
  readonly adapter?: string | undefined;
}

/** The machine list, with its age at the time the platform sent it. */
export interface MachineList extends MachineEntries {
  readonly ageMs: Milliseconds;
}

/** Calls to the platform. No call rejects; `timeoutMs` limits the duration of each. */
export interface PlatformClient {
  /** Carries out one table call. The result is `lost` only if bytes of the call may have been sent. */
  table(call: TableCall): Promise<TableResult>;
  /** Reads the machine list. */
  machines(): Promise<Result<MachineList, Fault>>;
  /** Reads an object; null if it does not exist. */
  getObject(name: string): Promise<Result<Uint8Array | null, Fault>>;
  /** Writes an object under a new name. Writing the same content again is not an error. */
  putObject(name: string, content: Uint8Array): Promise<Result<void, Fault>>;
  /** Whether a version exists in the weight store. */
  weightExists(reference: WeightReference): Promise<Result<boolean, Fault>>;
  /** Aborts the calls in flight and closes the connections. */
  close(): Promise<void>;
}

/** Creates a client. Connects at the first call. */
export function createPlatformClient(options: ExchangeOptions): PlatformClient {
  const connections = new HttpConnectionPool(options);
  const machines = new MachineListReader(connections);
  return {
    async table(call) {
      return tableResult(call, await connections.exchange(tableRequest(call)));
    },
    machines: () => machines.read(),
    async getObject(name) {
      const exchange = await connections.exchange({ method: 'GET', path: objectPath(name) });
      if (exchange.kind === 'answered' && exchange.status === 404) return ok(null);
      return expectStatus(exchange, [200]).map((body) => new Uint8Array(body));
    },
    async putObject(name, content) {
      const exchange = await connections.exchange({
        method: 'PUT',
        path: objectPath(name),
        body: content,
        contentType: 'application/octet-stream',
      });
      return expectStatus(exchange, [200, 201]).map(() => undefined);
    },
    async weightExists(reference) {
      const exchange = await connections.exchange({ method: 'GET', path: weightPath(reference) });
      if (exchange.kind === 'answered' && exchange.status === 404) return ok(false);
      return expectStatus(exchange, [200]).map(() => true);
    },
    close: () => connections.close(),
  };
}

/** Reads the machine list; transfers only its revision while the list has not changed. */
class MachineListReader {
  #cached: { readonly revision: string; readonly entries: MachineEntries } | null = null;

  constructor(private readonly connections: HttpConnectionPool) {}

  /** The machine list; the same array as before while the list has not changed. */
  async read(): Promise<Result<MachineList, Fault>> {
    const cached = this.#cached;
    const path = cached === null ? '/machines' : `/machines/unless/${cached.revision}`;
    const exchange = await this.connections.exchange({ method: 'GET', path });
    return readAnswer(exchange, machinesAnswerSchema).andThen((answer) => {
      const { ageMs, revision } = answer;
      if (answer.machines === undefined) {
        const unchanged = cached !== null && cached.revision === revision;
        return unchanged
          ? ok({ ageMs, ...cached.entries })
          : err(invalidAnswerFault('no machines though the list has changed'));
      }
      const entries = readMachines(answer.machines);
      this.#cached = revision === undefined ? null : { revision, entries };
      return ok({ ageMs, ...entries });
    });
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function weightPath(reference: WeightReference): string {
  const parts = [reference.model, reference.version];
  if (reference.adapter !== undefined) parts.push(reference.adapter);
  return `/weights/${parts.map(encodeURIComponent).join('/')}`;
}

function readAnswer<T>(exchange: Exchange, schema: z.ZodType<T>): Result<T, Fault> {
  return expectStatus(exchange, [200]).andThen((body) => {
    const parsed = schema.safeParse(parseJson(body));
    if (parsed.success) return ok(parsed.data);
    return err(invalidAnswerFault(parsed.error.issues[0]?.message ?? 'not understood'));
  });
}

function expectStatus(exchange: Exchange, statuses: readonly number[]): Result<Buffer, Fault> {
  if (exchange.kind === 'not-sent') return err(notPerformedFault(exchange.reason, undefined));
  if (exchange.kind === 'lost') return err(lostFault(exchange.reason));
  if (statuses.includes(exchange.status)) return ok(exchange.body);
  if (exchange.status === 412) return err(contentConflictFault());
  if (exchange.status === 429 || exchange.status === 503) {
    return err(
      notPerformedFault(`the platform answered ${exchange.status}`, retryAfterMs(exchange)),
    );
  }
  return err(lostFault(`the platform answered ${exchange.status}`));
}

function notPerformedFault(reason: string, afterMs: Milliseconds | undefined): Fault {
  return refusedNotRun(
    'store-unavailable',
    `The platform did not take the call: ${reason}. Try again later; if it goes on, look at the platform.`,
    { retryable: true, retryAfterMs: afterMs ?? DEFAULT_RETRY_AFTER_MS },
  );
}

function lostFault(reason: string): Fault {
  return outcomeUnknown(
    'store-unavailable',
    `The platform's answer was lost: ${reason}. Read back to find out whether it took effect.`,
  );
}

function contentConflictFault(): Fault {
  return refusedNotRun(
    'version-conflict',
    'An object of this name exists with other content. Write under another name.',
  );
}

function invalidAnswerFault(detail: string): Fault {
  return outcomeUnknown(
    'store-unavailable',
    `The platform's answer was not understood: ${detail}. Check that its address and version are right.`,
  );
}
