/** Schemas of the answers of an engine's control interface. */
import { z } from 'zod';
import type { OrderAnswer } from '../../core/orders/index.js';
import type { EngineReport } from '../../core/registry/backend.js';

const name = z.string().min(1);
const count = z.int().min(0);
const nonNegative = z.number().min(0);
const fence = z.object({ epoch: count, sequence: count });
const orderState = z.enum(['running', 'done', 'failed']);

const load = z.object({
  ageMs: nonNegative,
  running: count,
  queued: count,
  queuedPrefillTokens: count,
  kvUsed: z.number().min(0).max(1),
  prefillTokensPerSecond: nonNegative,
  decodeStepMs: nonNegative,
});

const loadedModel = z.object({
  model: name,
  version: name,
  adapters: z.array(z.object({ adapter: name, version: name })),
});

/** `GET /control/report`. */
export const engineReportSchema: z.ZodType<EngineReport> = z.object({
  engine: name,
  boot: name,
  role: z.enum(['prefill', 'decode', 'mixed']),
  intake: z.enum(['open', 'closed']),
  busy: z.boolean(),
  leaving: z.boolean(),
  models: z.array(loadedModel),
  fence: fence.nullable(),
  lastOrder: z.object({ id: name, state: orderState }).nullable(),
  maxBatch: count,
  activeRequests: count,
  load,
});

/** `POST /control/orders`. `lost` is not in the schema: the client sets it, no engine sends it. */
export const orderAnswerSchema: z.ZodType<Exclude<OrderAnswer, { kind: 'lost' }>> =
  z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('accepted'), state: orderState }),
    z.object({
      kind: z.literal('refused'),
      reason: z.enum(['stale-fence', 'wrong-boot', 'busy', 'other-order', 'invalid']),
      fence: fence.nullable(),
      boot: name,
    }),
  ]);

/** `GET /control/orders/<id>`. */
export const orderStateSchema = z.object({
  state: z.enum(['running', 'done', 'failed', 'unknown']),
});

/** `POST /control/cancel`. */
export const cancelAnswerSchema = z.object({ cancelled: z.boolean() });

/** `GET /control/cache-events`. */
export const cacheEventPageSchema = z.object({
  events: z.array(z.object({ n: count, kind: z.enum(['stored', 'evicted']), hash: name })),
  last: count,
});

/** Published cache events of an engine, and the number to continue after. */
export type CacheEventPage = z.infer<typeof cacheEventPageSchema>;

/** A refusal that guarantees that nothing was run. */
export const notRunSchema = z.object({ notRun: z.literal(true) });
