/** The definition of a workload: sources of requests, and phases that set their rates. */
import { z } from 'zod';

const MAX_TOKENS = 1_000_000;
const tokens = z.int().min(1).max(MAX_TOKENS);
const share = z.number().min(0).max(1);
const name = z.string().min(1);

/** A distribution over token counts. */
const distributionSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('fixed'), value: tokens }),
  z.strictObject({ kind: z.literal('uniform'), low: tokens, high: tokens }),
  /** exp(N(ln median, sigma²)), clamped to both bounds. */
  z.strictObject({
    kind: z.literal('lognormal'),
    median: tokens,
    sigma: z.number().min(0).max(3),
    low: tokens,
    high: tokens,
  }),
]);
/** A distribution over token counts. */
export type Distribution = z.infer<typeof distributionSchema>;

const sourceBase = {
  name,
  /** The tenant's API key; absent for anonymous callers. */
  apiKey: z.string().optional(),
  /** The class of work; absent for the tenant's default class. */
  className: z.string().optional(),
};

/** Requests to a model. */
const modelSourceSchema = z.strictObject({
  kind: z.literal('model'),
  ...sourceBase,
  model: name,
  /** Adapters to draw from uniformly; empty to request the base model. */
  adapters: z.array(name).default([]),
  /** Share of chat completions, 0 to 1; the other requests are plain completions. */
  chatShare: share.default(0),
  streamedShare: share.default(0.5),
  promptTokens: distributionSchema,
  outputTokens: distributionSchema,
  /** Number of shared prefixes, each `prefixTokens` long, that prompts begin with; 0: none. */
  sharedPrefixes: z.int().min(0).max(10_000).default(0),
  prefixTokens: z.int().min(0).max(MAX_TOKENS).default(0),
});

/** Repeatable reads of a web service. */
const webReadSourceSchema = z.strictObject({
  kind: z.literal('web-read'),
  ...sourceBase,
  /** Paths are `<prefix><number>`, with numbers from 1 to `paths`. */
  prefix: z.string().startsWith('/'),
  paths: z.int().min(1).default(1_000),
});

/** Non-repeatable orders to a web service; a share of them carries an `Idempotency-Key`. */
const webOrderSourceSchema = z.strictObject({
  kind: z.literal('web-order'),
  ...sourceBase,
  path: z.string().startsWith('/'),
  keyedShare: share.default(0.5),
});

const sourceSchema = z.discriminatedUnion('kind', [
  modelSourceSchema,
  webReadSourceSchema,
  webOrderSourceSchema,
]);
/** A source of requests. */
export type Source = z.infer<typeof sourceSchema>;
/** A source of requests to a model. */
export type ModelSource = z.infer<typeof modelSourceSchema>;

const rate = z.number().min(0, 'write 0 or more requests a second');

/** Requests per second: constant, or changing linearly from the start to the end of the phase. */
const rateSchema = z.union([rate, z.strictObject({ from: rate, to: rate })]);

const phaseSchema = z.strictObject({
  name,
  durationMs: z.int().positive(),
  /** Rates by source name; an absent source sends no requests. */
  rates: z.record(name, rateSchema),
});
/** A phase of a workload. */
export type Phase = z.infer<typeof phaseSchema>;

/** The schema of a workload file. */
export const workloadSchema = z
  .strictObject({
    name,
    seed: z.int().default(1),
    sources: z.array(sourceSchema).min(1),
    phases: z.array(phaseSchema).min(1),
  })
  .superRefine((workload, context) => {
    const known = new Set(workload.sources.map((source) => source.name));
    for (const phase of workload.phases) {
      for (const source of Object.keys(phase.rates)) {
        if (known.has(source)) continue;
        const message = `phase ${phase.name} gives a rate for ${source}, which is no source`;
        context.addIssue({ code: 'custom', message, path: ['phases'] });
      }
    }
  });
/** A workload definition. */
export type Workload = z.infer<typeof workloadSchema>;

/** The workload with all phase durations multiplied by a factor and unchanged rates. */
export function withScaledDurations(workload: Workload, factor: number): Workload {
  const phases = workload.phases.map((phase) => ({
    ...phase,
    durationMs: Math.max(1, Math.round(phase.durationMs * factor)),
  }));
  return { ...workload, phases };
}
