/**
 * Keeps secrets and prompts out of the log, should a field ever carry one by mistake.
 */
import type { LogFields } from '../../core/logging/log-event.js';

/** What stands in place of a withheld text. */
const REDACTED = '[withheld]';

const SECRET_NAME = /prompt|secret|password|credential|authorization|cookie|body|token$|key$/i;
const MAX_TEXT_LENGTH = 512;
/** Bounds the memory of names, should one ever come from outside. */
const MOST_NAMES = 1_024;

/** Whether a name is a secret's; names come from the code, so there are few, and each line holds many. */
const secretNames = new Map<string, boolean>();

/** The fields as they may be written: texts under secret names withheld, long texts cut. */
export function redact(fields: LogFields): LogFields {
  const written: Record<string, LogFields[string]> = {};
  for (const [name, value] of Object.entries(fields)) written[name] = redactValue(name, value);
  return written;
}

// Numbers and flags stay: counts such as promptTokens are wanted and give nothing away.
function redactValue(name: string, value: LogFields[string]): LogFields[string] {
  if (typeof value !== 'string') return value;
  if (isSecretName(name)) return REDACTED;
  return value.length > MAX_TEXT_LENGTH ? `${value.slice(0, MAX_TEXT_LENGTH)}…` : value;
}

function isSecretName(name: string): boolean {
  const known = secretNames.get(name);
  if (known !== undefined) return known;
  const isSecret = SECRET_NAME.test(name);
  if (secretNames.size < MOST_NAMES) secretNames.set(name, isSecret);
  return isSecret;
}
