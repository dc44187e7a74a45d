/** Reads the addresses of daemons and the token from flags and the environment. */
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import type { Endpoint } from '../core/registry/backend.js';
import { parseEndpoint } from '../shell/settings/index.js';

/** Where a list of addresses comes from. */
export interface AddressSource {
  readonly flags: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** The environment variable to read without a flag; addresses in it are parted by commas. */
  readonly variable: string;
}

/** The addresses to try, in order; the error is a sentence for the operator. */
export function readAddresses(source: AddressSource): Result<readonly Endpoint[], string> {
  const stated = source.flags.length > 0 ? source.flags : splitList(source.env[source.variable]);
  if (stated.length === 0) {
    return err(`no daemon is named; pass --daemon IP:PORT or set ${source.variable}`);
  }
  const endpoints: Endpoint[] = [];
  for (const text of stated) {
    const endpoint = parseEndpoint(text);
    if (endpoint.isErr()) {
      return err(
        `the address "${text}" ${endpoint.error}; write an IP number and a port, such as 127.0.0.1:9000`,
      );
    }
    endpoints.push(endpoint.value);
  }
  return ok(endpoints);
}

/** Where a secret comes from, the first that is given. */
export interface SecretSource {
  readonly value: string | undefined;
  readonly file: string | undefined;
  readonly environmentValue: string | undefined;
}

/** The secret, or null when none is given. */
export function readSecret(source: SecretSource): Result<string | null, string> {
  if (source.value !== undefined) {
    return ok(source.value);
  }
  if (source.file === undefined) {
    return ok(source.environmentValue ?? null);
  }
  return readTextFile(source.file).map((text) => text.trim());
}

/** A file's text; the error is a sentence for the operator. */
export function readTextFile(path: string): Result<string, string> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(`the file "${path}" can't be read (${reason}); check its name and rights`);
  }
}

function splitList(text: string | undefined): readonly string[] {
  return (text ?? '')
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
}
