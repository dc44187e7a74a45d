/** What callers state in headers: who they are, class, deadline, repeatable or not, key. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { ClassName } from '../../core/common/identifiers.js';
import type { Milliseconds } from '../../core/common/time.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import type { ConfigurationIndex, NamedTenant } from './configuration-index.js';
import { singleValue } from './headers.js';

/** The longest deadline that a caller may ask for. */
const MAX_DEADLINE_MS: Milliseconds = 86_400_000;

const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;
const WHOLE_NUMBER = /^[0-9]{1,9}$/;
const IDEMPOTENCY_KEY = /^[A-Za-z0-9._:-]{1,128}$/;
const NOT_CONFIGURED_RETRY_AFTER_MS: Milliseconds = 1_000;

/** A caller that is known. */
export interface Caller {
  readonly name: string;
  readonly className: ClassName;
  /** True when its API key told who it is; the key is then not passed on. */
  readonly identifiedByKey: boolean;
}

/** A caller's statements about one request. */
export interface CallerOptions {
  readonly className: ClassName;
  readonly deadlineMs: Milliseconds;
  /** Null where the caller does not say. */
  readonly repeatable: boolean | null;
  readonly idempotencyKey: string | null;
}

/**
 * Finds the tenant. `foreignKeyAllowed`: an unknown Authorization header is the web backend's own
 * affair, and the caller counts as anonymous.
 */
export function identifyCaller(
  index: ConfigurationIndex,
  headers: IncomingHttpHeaders,
  foreignKeyAllowed: boolean,
): Result<Caller, Fault> {
  if (index.version === 0) return err(NOT_CONFIGURED);
  const key = bearerKey(headers.authorization);
  const known = key === null ? undefined : index.tenantOfKey(key);
  if (known !== undefined) return ok(callerOf(known, true));
  if (headers.authorization !== undefined && !foreignKeyAllowed) return err(UNKNOWN_KEY);
  const anonymous = index.anonymousTenant();
  return anonymous === undefined ? err(NO_KEY) : ok(callerOf(anonymous, false));
}

/** Reads class, deadline, repeatability and idempotency key. */
export function readCallerOptions(
  index: ConfigurationIndex,
  headers: IncomingHttpHeaders,
  caller: Caller,
): Result<CallerOptions, Fault> {
  const className = singleValue(headers['x-threadfork-class']) ?? caller.className;
  const stated = Object.hasOwn(index.document.classes, className)
    ? index.document.classes[className]
    : undefined;
  if (stated === undefined) {
    return invalid(`No class of work is named so. Use one of: ${classNames(index)}.`);
  }
  const deadline = readDeadline(headers['x-threadfork-deadline-ms'], stated.deadlineMs);
  if (deadline === null) {
    return invalid(`X-Threadfork-Deadline-Ms must be a whole number from 1 to ${MAX_DEADLINE_MS}.`);
  }
  const repeatable = readFlag(headers['x-threadfork-repeatable']);
  if (repeatable === undefined) {
    return invalid('X-Threadfork-Repeatable must be `true` or `false`.');
  }
  const idempotencyKey = readIdempotencyKey(headers['idempotency-key']);
  if (idempotencyKey === undefined) {
    return invalid('Idempotency-Key must be 1 to 128 letters, digits or any of `. _ : -`.');
  }
  return ok({ className, deadlineMs: deadline, repeatable, idempotencyKey });
}

/** The digest that tells two requests under one idempotency key apart. */
export function digestOf(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

function callerOf(found: NamedTenant, identifiedByKey: boolean): Caller {
  return { name: found.name, className: found.tenant.class, identifiedByKey };
}

function bearerKey(authorization: string | undefined): string | null {
  if (authorization === undefined) return null;
  return BEARER.exec(authorization)?.[1] ?? null;
}

function invalid(message: string): Result<never, Fault> {
  return err(refusedNotRun('invalid-request', message));
}

function classNames(index: ConfigurationIndex): string {
  return Object.keys(index.document.classes).join(', ');
}

/** A caller may shorten its class's deadline, not lengthen it. */
function readDeadline(
  header: string | string[] | undefined,
  classDeadlineMs: Milliseconds,
): Milliseconds | null {
  if (header === undefined) return classDeadlineMs;
  const text = singleValue(header) ?? '';
  if (!WHOLE_NUMBER.test(text)) return null;
  const asked = Number(text);
  if (asked < 1 || asked > MAX_DEADLINE_MS) return null;
  return Math.min(asked, classDeadlineMs);
}

function readFlag(header: string | string[] | undefined): boolean | null | undefined {
  if (header === undefined) return null;
  if (header === 'true') return true;
  return header === 'false' ? false : undefined;
}

function readIdempotencyKey(header: string | string[] | undefined): string | null | undefined {
  if (header === undefined) return null;
  const text = singleValue(header) ?? '';
  return IDEMPOTENCY_KEY.test(text) ? text : undefined;
}

/** The fault before any configuration is in force. */
export const NOT_CONFIGURED = refusedNotRun(
  'not-configured',
  'No configuration is in force here yet. Try again shortly; an operator must have stated one.',
  { retryAfterMs: NOT_CONFIGURED_RETRY_AFTER_MS },
);

const UNKNOWN_KEY = refusedNotRun(
  'unauthenticated',
  'The API key is not known. Check the key, or ask the operator to add its digest to a tenant.',
);

const NO_KEY = refusedNotRun(
  'unauthenticated',
  'An API key is needed. Send it as `Authorization: Bearer <key>`.',
);
