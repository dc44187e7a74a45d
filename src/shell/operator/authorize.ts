/**
 * Authorizes operator calls by their token, or without a token on loopback if that is allowed. Only
 * the SHA-256 digests of tokens are stored, and they are compared in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { isIP } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';

/** What a call may do. `change` includes reading. */
type Permission = 'read-only' | 'change';

/** A token that is accepted. */
interface OperatorToken {
  /** Name of the token's holder; shown in logs and changes. */
  readonly name: string;
  /** Lower-case hexadecimal SHA-256 digest of the token. */
  readonly digest: string;
  readonly access: Permission;
}

/** An authorized caller and its permission. */
export interface Caller {
  /** The name of the token's holder, or `unauthenticated`. */
  readonly name: string;
  readonly permission: Permission;
}

/** The rules that calls are authorized by. */
export interface AccessRules {
  readonly tokens: readonly OperatorToken[];
  /** Calls without a token from a loopback address may do anything. */
  readonly allowUnauthenticatedLoopback: boolean;
  /** Calls without a token from any address may do anything. False by default. */
  readonly allowUnauthenticatedEverywhere?: boolean;
}

/** The authorized caller, or the fault that refuses the call. */
export function authorize(request: IncomingMessage, rules: AccessRules): Result<Caller, Fault> {
  const header = request.headers.authorization;
  if (header !== undefined) {
    return authorizeToken(header, rules.tokens);
  }
  return authorizeWithoutToken(request, rules);
}

/** The fault for a change requested with a read-only token. */
export function changeForbidden(): Fault {
  return refusedNotRun(
    'forbidden',
    'This token may only read and nothing was changed. Use a token that may change, or a dry run.',
  );
}

/** The fault for the complete configuration requested with a read-only token. */
export function configurationForbidden(): Fault {
  return refusedNotRun(
    'forbidden',
    'The whole configuration holds key digests, which this token may not see. Use threadfork query config, or a token that may change.',
  );
}

function authorizeToken(header: string, tokens: readonly OperatorToken[]): Result<Caller, Fault> {
  const token = /^Bearer +(\S+)$/i.exec(header)?.[1] ?? '';
  const found = findToken(createHash('sha256').update(token).digest(), tokens);
  if (found !== undefined) {
    return ok({ name: found.name, permission: found.access });
  }
  return err(
    refusedNotRun(
      'unauthenticated',
      'The token is not known to this daemon. Check --token or THREADFORK_TOKEN.',
    ),
  );
}

/** Compares with every digest, so that the duration does not reveal which one matched. */
function findToken(digest: Buffer, tokens: readonly OperatorToken[]): OperatorToken | undefined {
  let found: OperatorToken | undefined;
  for (const token of tokens) {
    const candidate = Buffer.from(token.digest, 'hex');
    if (candidate.length === digest.length && timingSafeEqual(candidate, digest)) {
      found = token;
    }
  }
  return found;
}

function authorizeWithoutToken(
  request: IncomingMessage,
  rules: AccessRules,
): Result<Caller, Fault> {
  const loopback = rules.allowUnauthenticatedLoopback && isLoopback(request.socket.remoteAddress);
  if (!loopback && rules.allowUnauthenticatedEverywhere !== true) {
    return err(
      refusedNotRun(
        'unauthenticated',
        'This call carries no token. Pass one with --token or THREADFORK_TOKEN.',
      ),
    );
  }
  if (mayComeFromBrowser(request)) {
    return err(
      refusedNotRun(
        'forbidden',
        'Calls without a token are not taken from web pages. Use the threadfork command line or a token.',
      ),
    );
  }
  return ok({ name: 'unauthenticated', permission: 'change' });
}

/** Whether an address is a loopback address, also as an IPv4-mapped IPv6 address. */
export function isLoopback(address: string | undefined): boolean {
  const unmapped = (address ?? '').replace(/^::ffff:/, '');
  return unmapped === '::1' || (isIP(unmapped) === 4 && unmapped.startsWith('127.'));
}

/**
 * Detects calls that a web page makes through a browser on this machine: a cross-origin request has an
 * Origin header, and after DNS rebinding the Host header holds the page's host name instead of an IP
 * number.
 */
function mayComeFromBrowser(request: IncomingMessage): boolean {
  const host = (request.headers.host ?? '').replace(/:\d+$/, '').replace(/^\[(.*)\]$/, '$1');
  const hasHostName = host !== '' && host !== 'localhost' && isIP(host) === 0;
  return hasHostName || request.headers.origin !== undefined;
}
