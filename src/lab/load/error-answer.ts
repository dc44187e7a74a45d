/** Parses the error answers of a daemon. */
import { z } from 'zod';
import type { Outcome } from './outcome.js';

const MS_PER_SECOND = 1_000;

const errorSchema = z.object({
  error: z.object({
    code: z.string(),
    outcome: z.enum(['refused: not run', 'unknown']),
  }),
});

/** The outcome of an answer with an error status; `unknown` if the body does not state it. */
export function errorOutcome(status: number, retryAfter: unknown, body: string): Outcome {
  const parsed = errorSchema.safeParse(parseJson(body));
  if (!parsed.success) return { kind: 'unknown', code: `status-${status}-without-outcome` };
  const { code, outcome } = parsed.data.error;
  if (outcome === 'unknown') return { kind: 'unknown', code };
  return { kind: 'refused', code, retryAfterMs: retryAfterMs(retryAfter) };
}

/** Parses JSON text; undefined if it is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function retryAfterMs(header: unknown): number | null {
  if (typeof header !== 'string' || !/^\d{1,6}$/.test(header)) return null;
  return Number(header) * MS_PER_SECOND;
}
