/** A stub of the daemon behind the operator server: one document in memory, outcomes set by the test. */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { ChangeOutcome } from '../../src/core/configuration/change-outcome.js';
import {
  EMPTY_CONFIGURATION,
  type VersionedConfiguration,
} from '../../src/core/configuration/document.js';
import { type Fault, refusedNotRun } from '../../src/core/errors/fault.js';
import { applyCommands, type Row } from '../../src/core/language/index.js';
import {
  type ChangeRequest,
  createOperatorServer,
  type ExplainSubject,
  type Explanation,
  type OperatorBackend,
  type OperatorServer,
  type OperatorServerOptions,
  type OperatorStatus,
} from '../../src/shell/operator/index.js';

export const READ_TOKEN = 'read-token';
export const CHANGE_TOKEN = 'change-token';

const ENGINES: readonly Row[] = [
  { name: 'e1', zone: 'leiden-a', running: 3 },
  { name: 'e2', zone: 'delft-c', running: 0 },
];

export function digestOf(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

export class StubBackend implements OperatorBackend {
  readonly requests: ChangeRequest[] = [];
  readonly outcomes = new Map<string, ChangeOutcome>();
  current: VersionedConfiguration = EMPTY_CONFIGURATION;
  /** If set, answers changes instead of the stub's own logic. */
  override: ((request: ChangeRequest) => Promise<ChangeOutcome>) | null = null;

  async rows(): Promise<Result<readonly Row[], Fault>> {
    return ok(ENGINES);
  }

  async change(request: ChangeRequest): Promise<ChangeOutcome> {
    this.requests.push(request);
    const outcome =
      this.outcomes.get(request.id) ?? (await (this.override ?? this.#decide)(request));
    this.outcomes.set(request.id, outcome);
    return outcome;
  }

  readonly #decide = async (request: ChangeRequest): Promise<ChangeOutcome> => {
    const { id, body, ifVersion, dryRun } = request;
    const { version } = this.current;
    if (ifVersion !== null && ifVersion !== version) {
      const fault = refusedNotRun(
        'version-conflict',
        `Version ${version} is in force. Look again.`,
      );
      return { kind: 'refused', id, fault, currentVersion: version };
    }
    const applied =
      body.kind === 'document'
        ? ok({ document: body.document, description: ['a whole document'] })
        : applyCommands(this.current.document, body.commands);
    if (applied.isErr()) {
      return { kind: 'refused', id, fault: applied.error, currentVersion: version };
    }
    if (dryRun) {
      return { kind: 'dry-run', id, version, description: applied.value.description };
    }
    this.current = { version: version + 1, document: applied.value.document };
    return { kind: 'applied', id, version: version + 1, inForce: 4 };
  };

  async explain(subject: ExplainSubject, id: string | null): Promise<Result<Explanation, Fault>> {
    if (id === 'nothing') {
      return err(refusedNotRun('invalid-request', 'No such engine. See threadfork query engines.'));
    }
    return ok({
      subject,
      id,
      sentences: [`${subject} ${id ?? ''} was chosen for its score`],
      tables: [{ title: 'Candidates', rows: [{ engine: 'e1', score: 12.5 }] }],
    });
  }

  status(): OperatorStatus {
    return {
      daemon: 'd1',
      incarnation: 7,
      zone: 'leiden-a',
      programVersion: '0.1.0',
      uptimeMs: 5_000,
      state: 'serving',
      configurationVersion: this.current.version,
      configurationCurrent: true,
      store: 'reachable',
      daemonsAlive: 4,
      daemonsSuspect: 0,
      enginesKnown: 2,
      enginesGranted: 2,
      requestsRunning: 3,
      requestsQueued: 0,
    };
  }

  configuration(): VersionedConfiguration {
    return this.current;
  }
}

/** Starts an operator server on a free loopback port, with both tokens. */
export async function startStub(
  backend: OperatorBackend,
  options: Partial<OperatorServerOptions> = {},
): Promise<{ readonly server: OperatorServer; readonly address: string }> {
  const server = createOperatorServer({
    listen: { address: '127.0.0.1', port: 0 },
    tokens: [
      { name: 'curator', digest: digestOf(READ_TOKEN), access: 'read-only' },
      { name: 'operations', digest: digestOf(CHANGE_TOKEN), access: 'change' },
    ],
    allowUnauthenticatedLoopback: false,
    backend,
    ...options,
  })._unsafeUnwrap();
  const { address, port } = (await server.start())._unsafeUnwrap();
  return { server, address: `${address}:${port}` };
}
