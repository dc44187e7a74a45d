/** Schemas of the platform's wire formats: machines, rows and answers. See docs/PLATFORM-API.md. */
import { isIP } from 'node:net';
import { z } from 'zod';
import type { Machine } from '../../core/registry/backend.js';

const machineBase = {
  name: z.string().min(1),
  zone: z.string().min(1),
  state: z.enum(['live', 'leaving']),
  address: z.string().refine((text) => isIP(text) !== 0, 'an IP number'),
  port: z.int().min(1).max(65_535),
};

/** One row of the machine list. */
export const machineSchema = z.discriminatedUnion('kind', [
  z.object({
    ...machineBase,
    kind: z.literal('engine'),
    accelerator: z.string(),
    pool: z.string().min(1).exactOptional(),
  }),
  z.object({ ...machineBase, kind: z.literal('web'), service: z.string().min(1) }),
  z.object({ ...machineBase, kind: z.literal('daemon') }),
]) satisfies z.ZodType<Machine>;

/** The answer to `GET /machines`. */
export const machinesAnswerSchema = z.object({
  ageMs: z.number().min(0),
  /** Identifies the content; absent if the platform does not support revisions. */
  revision: z.string().max(128).optional(),
  /** Absent if the revision in the request is still current. Each is checked alone, as one may be unusable. */
  machines: z.array(z.unknown()).optional(),
});

/** Any value; what was parsed as JSON is not walked again, as its nesting may exceed the stack. */
const jsonValue = z.unknown().refine((value) => value !== undefined, 'a value');

const rowSchema = z.object({
  key: z.string(),
  version: z.int().min(0),
  value: jsonValue,
});

/** The answer to a get or a scan. */
export const rowsAnswerSchema = z.object({ rows: z.array(rowSchema) });

/** The answer to a transaction. */
export const transactAnswerSchema = z.object({
  committed: z.boolean(),
  rows: z.array(rowSchema),
});
