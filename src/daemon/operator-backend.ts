/** What operators ask of a daemon: tables, changes, explanations and its status. */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { MonotonicMs } from '../core/common/time.js';
import {
  EMPTY_CONFIGURATION,
  type VersionedConfiguration,
} from '../core/configuration/document.js';
import type {
  ChangeAnswerEffect,
  ChangeOutcome,
  ChangeRequest as CoreChangeRequest,
} from '../core/configuration/index.js';
import { explain } from '../core/daemon/explain/index.js';
import type { DaemonState } from '../core/daemon/index.js';
import {
  configurationRows,
  daemonRows,
  engineRows,
  modelRows,
  STORED_TABLES,
  type StoredTable,
  withOwnRemainingTime,
} from '../core/daemon/tables/index.js';
import { type Fault, refusedNotRun } from '../core/errors/fault.js';
import {
  applyCommands,
  type Query,
  type Row,
  requiredTextValue,
  type TableName,
} from '../core/language/index.js';
import type { TableCall, TableResult } from '../core/platform/table.js';
import type {
  ChangeBody,
  ChangeRequest,
  ExplainSubject,
  Explanation,
  OperatorBackend,
  OperatorStatus,
} from '../shell/operator/index.js';
import type { PlatformClient } from '../shell/platform/index.js';
import { packageVersion } from '../shell/settings/index.js';

const MAX_STORED_ROWS = 1_000;

/** What the backend needs of the daemon round it. */
export interface OperatorBackendOptions {
  readonly platform: PlatformClient;
  state(): DaemonState;
  now(): MonotonicMs;
  startedAt: MonotonicMs;
  submitChange(request: CoreChangeRequest): void;
}

/** Answers operators from the fold's latest state and from the table service. */
export class DaemonOperatorBackend implements OperatorBackend {
  readonly #options: OperatorBackendOptions;
  readonly #waiting = new Map<string, (outcome: ChangeOutcome) => void>();
  #calls = 0;

  constructor(options: OperatorBackendOptions) {
    this.#options = options;
  }

  /** Takes the answer to a change that was submitted. */
  resolveChange(effect: ChangeAnswerEffect): void {
    this.#waiting.get(effect.token)?.(effect.outcome);
    this.#waiting.delete(effect.token);
  }

  async rows(table: TableName, query: Query): Promise<Result<readonly Row[], Fault>> {
    const stored = STORED_TABLES[table];
    if (stored !== undefined) {
      const key = requiredTextValue(query.where, stored.keyField);
      const rows = await this.#storedRows(stored, key);
      return table === 'leases' ? rows.map((leases) => this.#withRemainingTime(leases)) : rows;
    }
    return ok(this.#ownRows(table));
  }

  change(request: ChangeRequest): Promise<ChangeOutcome> {
    this.#calls += 1;
    const token = `operator-${this.#calls}`;
    return new Promise((resolve) => {
      this.#waiting.set(token, resolve);
      this.#options.submitChange({
        token,
        id: request.id,
        digest: digestOf(request.body),
        ifVersion: request.ifVersion,
        dryRun: request.dryRun,
        author: { operator: request.operator, at: new Date().toISOString() },
        apply: (document) => applyBody(document, request.body),
      });
    });
  }

  async explain(subject: ExplainSubject, id: string | null): Promise<Result<Explanation, Fault>> {
    const orders = subject === 'engine' ? await this.#orders() : null;
    return explain({
      state: this.#options.state(),
      subject,
      id,
      now: this.#options.now(),
      orders,
    });
  }

  status(): OperatorStatus {
    const state = this.#options.state();
    const now = this.#options.now();
    const members = [...state.membership.members.values()];
    const views = [...state.digest.views.values()];
    const { configuration, identity, traffic } = state;
    return {
      daemon: identity.name,
      incarnation: identity.incarnation,
      zone: identity.zone,
      programVersion: packageVersion(),
      uptimeMs: Math.round(now - this.#options.startedAt),
      state: state.stopping ? 'stopping' : 'serving',
      configurationVersion: configuration.inForce?.version ?? 0,
      configurationCurrent:
        configuration.ready &&
        configuration.highestVersion <= (configuration.inForce?.version ?? 0),
      store: state.store,
      daemonsAlive: members.filter((member) => member.status === 'alive').length,
      daemonsSuspect: members.filter((member) => member.status === 'suspect').length,
      enginesKnown: views.length,
      enginesGranted: views.filter((view) => now < view.grantedUntil).length,
      requestsRunning: traffic.requests.activeCount - traffic.admission.waiting,
      requestsQueued: traffic.admission.waiting,
    };
  }

  configuration(): VersionedConfiguration {
    return this.#options.state().configuration.inForce ?? EMPTY_CONFIGURATION;
  }

  /** The durable intents; null while the table service does not answer. */
  async #orders(): Promise<readonly Row[] | null> {
    const stored = STORED_TABLES.orders;
    return stored === undefined ? null : (await this.#storedRows(stored, null)).unwrapOr(null);
  }

  #ownRows(table: TableName): readonly Row[] {
    const state = this.#options.state();
    switch (table) {
      case 'engines':
        return engineRows(state, this.#options.now());
      case 'models':
        return modelRows(state);
      case 'daemons':
        return daemonRows(state);
      case 'config':
        return configurationRows(this.configuration());
      default:
        return [];
    }
  }

  #withRemainingTime(leases: readonly Row[]): readonly Row[] {
    return withOwnRemainingTime(leases, this.#options.state(), this.#options.now());
  }

  /** A query that pins the key reads that row alone, however many there are. */
  async #storedRows(
    table: StoredTable,
    key: string | null,
  ): Promise<Result<readonly Row[], Fault>> {
    const { prefix } = table;
    const call: TableCall =
      key === null
        ? { kind: 'scan', prefix, limit: MAX_STORED_ROWS }
        : { kind: 'get', keys: [`${prefix}${key}`] };
    const result = await this.#options.platform.table(call);
    if (result.kind !== 'rows') {
      return err(storeFault(result));
    }
    return ok(result.rows.map((row) => table.rowOf(row)).filter((row) => row !== null));
  }
}

function storeFault(result: TableResult): Fault {
  const retryAfterMs = result.kind === 'unavailable' ? result.retryAfterMs : 1_000;
  return refusedNotRun(
    'store-unavailable',
    'The table service did not answer, and this table is kept there. Ask again when it does.',
    { retryAfterMs },
  );
}

function digestOf(body: ChangeBody): string {
  return createHash('sha256').update(JSON.stringify(body)).digest('hex');
}

function applyBody(document: VersionedConfiguration['document'], body: ChangeBody) {
  if (body.kind === 'commands') {
    return applyCommands(document, body.commands);
  }
  return ok({ document: body.document, description: ['The whole configuration was replaced.'] });
}
