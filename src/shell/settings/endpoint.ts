/**
 * Parses `ip:port` addresses. Host names are refused: machines address each other by IP number only.
 */
import { isIP } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import type { Endpoint } from '../../core/registry/backend.js';

const MAX_PORT = 65_535;

/** Parses `127.0.0.1:8080` or `[::1]:8080`; the error is a phrase that describes the problem. */
export function parseEndpoint(text: string): Result<Endpoint, string> {
  const match = /^(?:\[([^\]]*)\]|([^:]*)):(\d{1,5})$/.exec(text);
  if (match === null) return err('is not of the form IP:PORT');
  const bracketed = match[1];
  const address = bracketed ?? match[2] ?? '';
  const family = bracketed === undefined ? 4 : 6;
  if (isIP(address) !== family) return err('has no IP number before its port');
  const port = Number(match[3]);
  if (port > MAX_PORT) return err(`has a port above ${MAX_PORT}`);
  return ok({ address, port });
}

/** Formats an endpoint in the form that `parseEndpoint` accepts. */
export function formatEndpoint(endpoint: Endpoint): string {
  const isVersion6 = endpoint.address.includes(':');
  const address = isVersion6 ? `[${endpoint.address}]` : endpoint.address;
  return `${address}:${endpoint.port}`;
}

/** Whether an address can be reached only from its own machine. */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address === '::1';
}

/** Whether an address means all addresses of a machine, so that nobody can connect to it. */
export function isUnspecified(address: string): boolean {
  return address === '0.0.0.0' || address === '::';
}
