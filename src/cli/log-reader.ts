/** Reads the log lines of gateways from a stream and skips all other lines. */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import * as z from 'zod/mini';
import type { LogLine } from '../core/gateway/index.js';

const lineSchema = z.looseObject({ time: z.number(), event: z.number(), msg: z.string() });
const fieldSchema = z.union([z.string(), z.number(), z.boolean(), z.null()]);

/**
 * @param name source of lines that have no prefix; the last word that a log collector puts before the
 *   JSON of a line takes precedence
 * @param isWanted selects the lines to return
 */
export async function readLog(
  stream: Readable,
  name: string,
  isWanted: (line: LogLine) => boolean,
): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({
    input: stream,
    crlfDelay: Number.POSITIVE_INFINITY,
  })) {
    const line = parseLine(text, name);
    if (line !== undefined && isWanted(line)) lines.push(line);
  }
  return lines;
}

function parseLine(text: string, name: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  const parsed = lineSchema.safeParse(parseJson(text.slice(start)));
  if (!parsed.success) return undefined;
  const { time, event, msg, ...others } = parsed.data;
  const source = text.slice(0, start).trim().split(/\s+/).at(-1) || name;
  return { source, timeMs: time, event, message: msg, fields: fieldsOf(others) };
}

function fieldsOf(others: Readonly<Record<string, unknown>>): LogLine['fields'] {
  const fields: Record<string, string | number | boolean | null> = {};
  for (const [key, value] of Object.entries(others)) {
    const field = fieldSchema.safeParse(value);
    if (field.success) fields[key] = field.data;
  }
  return fields;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
