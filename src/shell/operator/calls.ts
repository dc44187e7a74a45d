/** The handlers of the operator API: each turns a validated body into an answer. */
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { ChangeOutcome } from '../../core/configuration/change-outcome.js';
import { parseDocument } from '../../core/configuration/validate.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import {
  evaluateQuery,
  parseStatement,
  type Query,
  type Row,
  TABLE_FIELDS,
} from '../../core/language/index.js';
import { type Answer, faultAnswer, okAnswer, outcomeAnswer } from './answer.js';
import { type Caller, changeForbidden, configurationForbidden } from './authorize.js';
import { type ChangeRequest, EXPLAIN_SUBJECTS, type OperatorBackend } from './backend.js';

const changeOptions = {
  id: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,64}$/, '1 to 64 letters, digits, . _ -')
    .optional(),
  ifVersion: z.int().min(0).optional(),
  dryRun: z.boolean().default(false),
};

/** The body of `POST /v1/query`. */
export const queryBodySchema = z.strictObject({ text: z.string() });

/** The body of `POST /v1/commands`: a statement, or a complete document to put in force. */
export const commandsBodySchema = z.union(
  [
    z.strictObject({ text: z.string(), ...changeOptions }),
    z.strictObject({ document: z.unknown(), ...changeOptions }),
  ],
  'state either text or document, with id, ifVersion and dryRun as wished',
);

/** The body of `POST /v1/explain`. */
export const explainBodySchema = z.strictObject({
  subject: z.enum(EXPLAIN_SUBJECTS),
  id: z.string().max(256).optional(),
});

/** The answer to a query. */
interface QueryAnswer {
  readonly table: string;
  /** The order in which to print the fields. */
  readonly fields: readonly string[];
  readonly rows: readonly Row[];
}

/** Answers a query. */
export async function answerQuery(
  backend: OperatorBackend,
  body: z.infer<typeof queryBodySchema>,
): Promise<Answer> {
  const query = parseStatement(body.text).andThen(expectQuery);
  if (query.isErr()) {
    return faultAnswer(query.error);
  }
  const rows = await backend.rows(query.value.table, query.value);
  return rows
    .andThen((all) => evaluateQuery(query.value, all))
    .match((selected) => okAnswer(queryAnswer(query.value, selected)), faultAnswer);
}

function expectQuery(statement: Query | { readonly kind: 'change' }): Result<Query, Fault> {
  if (statement.kind === 'query') {
    return ok(statement);
  }
  return err(
    refusedNotRun(
      'invalid-command',
      'This is a command and nothing was changed. Use threadfork apply for commands.',
    ),
  );
}

function queryAnswer(query: Query, rows: readonly Row[]): QueryAnswer {
  const fields = new Set<string>(query.select ?? TABLE_FIELDS[query.table]);
  for (const row of rows) {
    for (const field of Object.keys(row)) {
      fields.add(field);
    }
  }
  return { table: query.table, fields: [...fields], rows };
}

/** Carries out a change or refuses it. Every answer contains the change's id. */
export async function answerCommands(
  backend: OperatorBackend,
  caller: Caller,
  body: z.infer<typeof commandsBodySchema>,
): Promise<{ readonly answer: Answer; readonly outcome: ChangeOutcome }> {
  const id = body.id ?? randomUUID();
  const request = readChange(id, caller, body).andThen((change) => checkPermission(change, caller));
  const outcome = request.isErr()
    ? refusedOutcome(id, request.error)
    : await runChange(backend, request.value);
  return { answer: outcomeAnswer(outcome), outcome };
}

function refusedOutcome(id: string, fault: Fault): ChangeOutcome {
  return { kind: 'refused', id, fault, currentVersion: null };
}

function checkPermission(change: ChangeRequest, caller: Caller): Result<ChangeRequest, Fault> {
  const allowed = caller.permission === 'change' || change.dryRun;
  return allowed ? ok(change) : err(changeForbidden());
}

/** `change` should not throw. If it does, the change may already have been recorded: unknown. */
async function runChange(backend: OperatorBackend, change: ChangeRequest): Promise<ChangeOutcome> {
  try {
    return await backend.change(change);
  } catch {
    return {
      kind: 'unknown',
      id: change.id,
      message: `The daemon failed while it made the change. Ask with: changes where id = "${change.id}".`,
      recordedVersion: null,
      waitingFor: [],
    };
  }
}

function readChange(
  id: string,
  caller: Caller,
  body: z.infer<typeof commandsBodySchema>,
): Result<ChangeRequest, Fault> {
  if ('text' in body) {
    return readStatement(id, caller, body);
  }
  return parseDocument(body.document).map((document) => ({
    id,
    body: { kind: 'document', document },
    ifVersion: body.ifVersion ?? null,
    dryRun: body.dryRun,
    operator: caller.name,
  }));
}

function readStatement(
  id: string,
  caller: Caller,
  body: {
    readonly text: string;
    readonly ifVersion?: number | undefined;
    readonly dryRun: boolean;
  },
): Result<ChangeRequest, Fault> {
  return parseStatement(body.text).andThen((statement): Result<ChangeRequest, Fault> => {
    if (statement.kind === 'query') {
      return err(
        refusedNotRun('invalid-command', 'This is a query. Use threadfork query for queries.'),
      );
    }
    const { commands, ifVersion, dryRun } = statement;
    if (ifVersion !== null && body.ifVersion !== undefined && ifVersion !== body.ifVersion) {
      return err(
        refusedNotRun(
          'invalid-command',
          `The statement says if version ${ifVersion} and the call ${body.ifVersion}. State one of them.`,
        ),
      );
    }
    return ok({
      id,
      body: { kind: 'commands', commands },
      ifVersion: ifVersion ?? body.ifVersion ?? null,
      dryRun: dryRun || body.dryRun,
      operator: caller.name,
    });
  });
}

/**
 * Answers with the complete document, including key digests, so that it can be applied again. Because
 * of the digests, a read-only token may not read it.
 */
export function answerConfiguration(backend: OperatorBackend, caller: Caller): Answer {
  return caller.permission === 'change'
    ? okAnswer(backend.configuration())
    : faultAnswer(configurationForbidden());
}

/** Answers `explain`. */
export async function answerExplain(
  backend: OperatorBackend,
  body: z.infer<typeof explainBodySchema>,
): Promise<Answer> {
  const id = body.id ?? null;
  if (id === null && body.subject !== 'config') {
    return faultAnswer(
      refusedNotRun('invalid-request', `Name the ${body.subject} to explain by its id.`),
    );
  }
  const explanation = await backend.explain(body.subject, id);
  return explanation.match(okAnswer, faultAnswer);
}
