/** Reads JSON bodies of limited size, and limited memory in all; the server's request timeout limits the duration. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import { ByteCollector } from '../bytes/index.js';
import type { BodyBudget } from '../http/index.js';

/** The limits of one body, and of all. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly budget: BodyBudget;
}

const OVERLOADED_RETRY_AFTER_MS = 1_000;

/** Reads the body and validates it with the schema. */
export async function readJsonBody<T>(
  request: IncomingMessage,
  schema: z.ZodType<T>,
  limits: BodyLimits,
): Promise<Result<T, Fault>> {
  const type = request.headers['content-type'] ?? '';
  if (!/^application\/json\s*(;|$)/i.test(type)) {
    return err(invalidBodyFault('The body must be JSON. Send content-type: application/json.'));
  }
  const bytes = await readBytes(request, limits);
  return bytes.andThen(parseJson).andThen((value) => matchSchema(schema, value));
}

async function readBytes(
  request: IncomingMessage,
  { maxBytes, budget }: BodyLimits,
): Promise<Result<Buffer, Fault>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return err(bodyTooLargeFault(maxBytes));
  }
  const body = new ByteCollector();
  let reservedBytes = 0;
  try {
    // The connection stays, as a refusal is answered on it.
    const chunks: AsyncIterable<Buffer> = request.iterator({ destroyOnReturn: false });
    for await (const chunk of chunks) {
      if (body.length + chunk.length > maxBytes) return err(bodyTooLargeFault(maxBytes));
      body.add(chunk);
      const neededBytes = body.heldBytes - reservedBytes;
      if (!budget.tryReserve(neededBytes)) return err(TOO_MANY_BODIES);
      reservedBytes += neededBytes;
    }
    return ok(body.join());
  } catch {
    return err(invalidBodyFault('The body broke off. Send it again whole.'));
  } finally {
    budget.release(reservedBytes);
  }
}

function parseJson(bytes: Buffer): Result<unknown, Fault> {
  try {
    return ok(JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)));
  } catch {
    return err(invalidBodyFault('The body is not JSON in UTF-8. Correct it and send it again.'));
  }
}

function matchSchema<T>(schema: z.ZodType<T>, value: unknown): Result<T, Fault> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  const key = issue?.path.join('.') || 'the body';
  return err(
    invalidBodyFault(`${key}: ${issue?.message ?? 'not valid'}. See docs/CLI.md for the calls.`),
  );
}

function invalidBodyFault(message: string): Fault {
  return refusedNotRun('invalid-request', message);
}

const TOO_MANY_BODIES = refusedNotRun(
  'overloaded',
  'Too many bodies of operator calls are read here at once. Try again after the time in Retry-After.',
  { retryAfterMs: OVERLOADED_RETRY_AFTER_MS },
);

function bodyTooLargeFault(maxBytes: number): Fault {
  return refusedNotRun(
    'body-too-large',
    `The body is over ${maxBytes} bytes. Split the change, or raise the operator body limit in the settings.`,
  );
}
