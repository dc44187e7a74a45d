/** The client of the platform's services: table, objects, weights and machine list. */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Milliseconds } from '../../core/common/time.js';
import { type Fault, outcomeUnknown, refusedNotRun } from '../../core/errors/fault.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import type { Machine } from '../../core/registry/backend.js';
import { machinesAnswerSchema } from './answers.js';
import { type Exchange, type ExchangeOptions, HttpConnectionPool } from './http-connection-pool.js';
import { parseJson } from './json.js';
import { DEFAULT_RETRY_AFTER_MS, retryAfterMs } from './retry-after.js';
import { tableRequest, tableResult } from './table-calls.js';

/** Names a model's version, or an adapter's version over a model. */
export interface WeightReference {
  readonly model: string;
  readonly version: string;
  /** Absent for the model's own weights. */
  readonly adapter?: string | undefined;
}

/** The machine list with its age when the platform sent it. */
export interface MachineList {
  readonly ageMs: Milliseconds;
  readonly machines: readonly Machine[];
}

/** The platform as the shell calls it. No call rejects; `timeoutMs` bounds each. */
export interface PlatformClient {
  /** Carries out one table call. `lost` is answered only when bytes of the call may have left. */
  table(call: TableCall): Promise<TableResult>;
  /** Reads the machine list. */
  machines(): Promise<Result<MachineList, Fault>>;
  /** Reads an object; null when there is none of the name. */
  getObject(name: string): Promise<Result<Uint8Array | null, Fault>>;
  /** Writes an object under a new name. The same content again is no error. */
  putObject(name: string, content: Uint8Array): Promise<Result<void, Fault>>;
  /** Whether the weight store has a version. */
  weightExists(reference: WeightReference): Promise<Result<boolean, Fault>>;
  /** Breaks off the calls in flight and closes the connections. */
  close(): Promise<void>;
}

/** Opens a client. Nothing is connected before the first call. */
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

/** Reads the machine list, and only its revision while it has not changed. */
class MachineListReader {
  #known: { readonly revision: string; readonly machines: readonly Machine[] } | null = null;

  constructor(private readonly connections: HttpConnectionPool) {}

  /** The list; the same array as before while it has not changed. */
  async read(): Promise<Result<MachineList, Fault>> {
    const known = this.#known;
    const path = known === null ? '/machines' : `/machines/unless/${known.revision}`;
    const exchange = await this.connections.exchange({ method: 'GET', path });
    return readAnswer(exchange, machinesAnswerSchema).andThen((answer) => {
      const { ageMs, revision } = answer;
      if (answer.machines === undefined) {
        const unchanged = known !== null && known.revision === revision;
        return unchanged
          ? ok({ ageMs, machines: known.machines })
          : err(notUnderstood('no machines though the list has changed'));
      }
      const machines = answer.machines;
      this.#known = revision === undefined ? null : { revision, machines };
      return ok({ ageMs, machines });
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
    return err(notUnderstood(parsed.error.issues[0]?.message ?? 'not understood'));
  });
}

function expectStatus(exchange: Exchange, statuses: readonly number[]): Result<Buffer, Fault> {
  if (exchange.kind === 'not-sent') return err(notDone(exchange.reason, undefined));
  if (exchange.kind === 'lost') return err(lost(exchange.reason));
  if (statuses.includes(exchange.status)) return ok(exchange.body);
  if (exchange.status === 412) return err(otherContent());
  if (exchange.status === 429 || exchange.status === 503) {
    return err(notDone(`the platform answered ${exchange.status}`, retryAfterMs(exchange)));
  }
  return err(lost(`the platform answered ${exchange.status}`));
}

function notDone(reason: string, afterMs: Milliseconds | undefined): Fault {
  return refusedNotRun(
    'store-unavailable',
    `The platform did not take the call: ${reason}. Try again later; if it goes on, look at the platform.`,
    { retryable: true, retryAfterMs: afterMs ?? DEFAULT_RETRY_AFTER_MS },
  );
}

function lost(reason: string): Fault {
  return outcomeUnknown(
    'store-unavailable',
    `The platform's answer was lost: ${reason}. Read back to find out whether it took effect.`,
  );
}

function otherContent(): Fault {
  return refusedNotRun(
    'version-conflict',
    'An object of this name exists with other content. Write under another name.',
  );
}

function notUnderstood(detail: string): Fault {
  return outcomeUnknown(
    'store-unavailable',
    `The platform's answer was not understood: ${detail}. Check that its address and version are right.`,
  );
}
