/** Reads a JSON body of limited size; the server's request timeout limits the duration. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';

/** Reads the body and validates it with the schema. */
export async function readJsonBody<T>(
  request: IncomingMessage,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<Result<T, Fault>> {
  const type = request.headers['content-type'] ?? '';
  if (!/^application\/json\s*(;|$)/i.test(type)) {
    return err(invalidBodyFault('The body must be JSON. Send content-type: application/json.'));
  }
  const bytes = await readBytes(request, maxBytes);
  return bytes.andThen(parseJson).andThen((value) => matchSchema(schema, value));
}

async function readBytes(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Fault>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return err(bodyTooLargeFault(maxBytes));
  }
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maxBytes) {
        return err(bodyTooLargeFault(maxBytes));
      }
      chunks.push(chunk);
    }
  } catch {
    return err(invalidBodyFault('The body broke off. Send it again whole.'));
  }
  return ok(Buffer.concat(chunks));
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

function bodyTooLargeFault(maxBytes: number): Fault {
  return refusedNotRun(
    'body-too-large',
    `The body is over ${maxBytes} bytes. Split the change, or raise the operator body limit in the settings.`,
  );
}
