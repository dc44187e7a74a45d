/**
 * Keeps secrets and prompts out of the log if a field carries one by mistake.
 */
import type { LogFields } from '../../core/logging/log-event.js';

/** Written in place of a withheld text. */
const REDACTED = '[withheld]';

const SECRET_NAME = /prompt|secret|password|credential|authorization|cookie|body|token$|key$/i;
const MAX_TEXT_LENGTH = 512;
/** Bounds the cache of field names in case names ever come from outside input. */
const MAX_CACHED_NAMES = 1_024;

/** Whether a field name marks a secret. Cached because every line has many names, and the code uses few in all. */
const isSecretByName = new Map<string, boolean>();

/** The fields as they may be written: texts under secret names withheld, long texts truncated. */
export function redact(fields: LogFields): LogFields {
  const written: Record<string, LogFields[string]> = {};
  for (const [name, value] of Object.entries(fields)) written[name] = redactValue(name, value);
  return written;
}

// Numbers and booleans are kept: counts such as promptTokens are needed and reveal no content.
function redactValue(name: string, value: LogFields[string]): LogFields[string] {
  if (typeof value !== 'string') return value;
  if (isSecretName(name)) return REDACTED;
  return value.length > MAX_TEXT_LENGTH ? `${value.slice(0, MAX_TEXT_LENGTH)}…` : value;
}

function isSecretName(name: string): boolean {
  const known = isSecretByName.get(name);
  if (known !== undefined) return known;
  const isSecret = SECRET_NAME.test(name);
  if (isSecretByName.size < MAX_CACHED_NAMES) isSecretByName.set(name, isSecret);
  return isSecret;
}
