/** Checks rows of servers, which come from the store or from another daemon, before a server of theirs can be called. */
import { isAddress, isName, isServerId, type ServerRecord } from '../../core/gateway/index.js';
import type { WatchedRow } from './ports.js';

/** The row, or a malformed row where its server could not be called. */
export function usableRow(row: WatchedRow<ServerRecord>): WatchedRow<ServerRecord> {
  if (row.kind !== 'value') return row;
  const problem = problemOf(row.value);
  return problem === undefined ? row : { kind: 'malformed', key: row.key, problem };
}

function problemOf({ id, address, service, zone }: ServerRecord): string | undefined {
  if (!isServerId(id)) return 'the key is not a valid server id';
  if (!isAddress(address)) return 'the address is not HOST:PORT of a server';
  if (!isName(service)) return 'the service has no usable name';
  if (!isName(zone)) return 'the zone has no usable name';
  return undefined;
}
