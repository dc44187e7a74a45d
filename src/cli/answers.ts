/** Schemas of the operator API's answers. */
import { z } from 'zod';
import type { ChangeOutcome } from '../core/configuration/change-outcome.js';
import type { Fault } from '../core/errors/fault.js';

// Any text is accepted as a code, because a newer daemon may have codes that this version does not know.
const faultSchema = z.object({
  code: z.string(),
  message: z.string(),
  retryable: z.boolean(),
  outcome: z.enum(['refused-not-run', 'unknown']),
}) as unknown as z.ZodType<Fault>;

/** The body of a refused call. */
export const errorAnswerSchema = z.object({ error: faultSchema });

/** The answer to a change. */
export const changeOutcomeSchema: z.ZodType<ChangeOutcome> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('applied'),
    id: z.string(),
    version: z.number(),
    inForce: z.number(),
  }),
  z.object({
    kind: z.literal('refused'),
    id: z.string(),
    fault: faultSchema,
    currentVersion: z.number().nullable(),
  }),
  z.object({
    kind: z.literal('unknown'),
    id: z.string(),
    message: z.string(),
    recordedVersion: z.number().nullable(),
    waitingFor: z.array(z.string()),
  }),
  z.object({
    kind: z.literal('dry-run'),
    id: z.string(),
    version: z.number(),
    description: z.array(z.string()),
  }),
]);

const rowSchema = z.record(
  z.string(),
  z.union([z.string(), z.number(), z.boolean(), z.null(), z.array(z.string())]),
);

/** The answer to a query. */
export const queryAnswerSchema = z.object({
  table: z.string(),
  fields: z.array(z.string()),
  rows: z.array(rowSchema),
});

/** The answer to `explain`. */
export const explanationSchema = z.object({
  sentences: z.array(z.string()),
  tables: z.array(z.object({ title: z.string(), rows: z.array(rowSchema) })),
});

/** The answer to `status`; a newer daemon may add fields. */
export const statusSchema = z
  .object({ daemon: z.string(), zone: z.string(), state: z.string() })
  .catchall(z.union([z.string(), z.number(), z.boolean(), z.null()]));

/** The answer to `config show`. The document is validated only when it is printed as commands. */
export const configurationAnswerSchema = z.object({ version: z.number(), document: z.unknown() });
