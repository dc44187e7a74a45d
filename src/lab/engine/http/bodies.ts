/** The request bodies and headers of an emulated engine, validated with zod. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { Order } from '../../../core/orders/types.js';
import { chatPrompt } from '../tokens.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const MAX_OUTPUT_TOKENS = 1_000_000;
const DEFAULT_OUTPUT_TOKENS = 16;
const MAX_PRIORITY_VALUE = 9;
const DEFAULT_PRIORITY = 5;

const outputTokens = z.int().min(1).max(MAX_OUTPUT_TOKENS);
const common = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  seed: z.int().default(0),
};

const completionSchema = z.object({
  ...common,
  prompt: z.string(),
  max_tokens: outputTokens.default(DEFAULT_OUTPUT_TOKENS),
});

const textPart = z.object({ type: z.literal('text'), text: z.string() });
const messageContent = z.union([
  z.string(),
  z.array(textPart).transform((parts) => parts.map((part) => part.text).join('')),
]);

const chatSchema = z.object({
  ...common,
  messages: z.array(z.object({ content: messageContent })).min(1),
  max_tokens: outputTokens.optional(),
  max_completion_tokens: outputTokens.optional(),
});

const headerSchema = z.object({
  attempt: z.string().min(1).max(256),
  priority: z.coerce.number().int().min(0).max(MAX_PRIORITY_VALUE),
  resumeOffset: z.coerce.number().int().min(0).max(MAX_OUTPUT_TOKENS),
  version: z.string().nullable(),
  kvHandle: z.string().nullable(),
});

const name = z.string().min(1);
const action = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('hold'), intake: z.enum(['open', 'closed']) }),
  z.strictObject({ kind: z.literal('set-role'), role: z.enum(['prefill', 'decode', 'mixed']) }),
  z.strictObject({ kind: z.literal('load-model'), model: name, version: name }),
  z.strictObject({ kind: z.literal('unload-model'), model: name, version: name }),
  z.strictObject({
    kind: z.literal('load-adapter'),
    model: name,
    adapter: name,
    version: name,
  }),
  z.strictObject({ kind: z.literal('unload-adapter'), model: name, adapter: name }),
]);

/** The body of `POST /control/orders`. */
export const orderSchema: z.ZodType<Order> = z.strictObject({
  id: name,
  engine: name,
  boot: name,
  fence: z.strictObject({ epoch: z.int().min(0), sequence: z.int().min(0) }),
  action,
  onlyIfIdle: z.boolean(),
});

/** The body of `POST /control/cancel`. */
export const cancelSchema = z.object({ attempt: name });

/** The body of `POST /control/kv/import`. */
export const importSchema = z.object({
  source: z.object({ address: name, port: z.int().min(1).max(65_535) }),
  kvHandle: name,
});

/** A completion or chat completion body, reduced to what the engine needs. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly samplingSeed: number;
}

/** The request headers of docs/ENGINE-API.md. */
export type EngineHeaders = z.infer<typeof headerSchema>;

/** Validates a value; the error is one line for the answer. */
export function check<Value>(schema: z.ZodType<Value>, value: unknown): Result<Value, string> {
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  const issue = checked.error.issues[0];
  return err(`${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`);
}

/** Validates a completion or chat completion body. */
export function checkCompletion(value: unknown, chat: boolean): Result<CompletionBody, string> {
  if (!chat) {
    return check(completionSchema, value).map(({ max_tokens: maxTokens, seed, ...rest }) => ({
      ...rest,
      maxTokens,
      samplingSeed: seed,
    }));
  }
  return check(chatSchema, value).map((body) => ({
    model: body.model,
    prompt: chatPrompt(body.messages),
    maxTokens: body.max_tokens ?? body.max_completion_tokens ?? DEFAULT_OUTPUT_TOKENS,
    stream: body.stream,
    samplingSeed: body.seed,
  }));
}

/** Validates the engine's own request headers. `fallbackAttempt` replaces a missing attempt id. */
export function checkHeaders(
  headers: IncomingHttpHeaders,
  fallbackAttempt: string,
): Result<EngineHeaders, string> {
  return check(headerSchema, {
    attempt: headers['x-threadfork-attempt'] ?? fallbackAttempt,
    priority: headers['x-threadfork-priority'] ?? DEFAULT_PRIORITY,
    resumeOffset: headers['x-threadfork-resume-offset'] ?? 0,
    version: headers['x-threadfork-version'] ?? null,
    kvHandle: headers['x-threadfork-kv-handle'] ?? null,
  });
}

/** Reads a complete JSON body. */
export async function readJson(request: IncomingMessage): Promise<Result<unknown, string>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAX_BODY_BYTES) return err(`body: more than ${MAX_BODY_BYTES} bytes`);
    chunks.push(bytes);
  }
  try {
    return ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  } catch {
    return err('body: not JSON');
  }
}
