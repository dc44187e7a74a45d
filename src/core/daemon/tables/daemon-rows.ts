/** Rows of the table `daemons`. */
import type { Row } from '../../language/index.js';
import type { DaemonState } from '../state.js';

/** One row for each daemon in the membership table, including this one. */
export function daemonRows(state: DaemonState): readonly Row[] {
  return [...state.membership.members.values()].map((member) => ({
    name: member.name,
    zone: member.zone,
    state: member.status,
    incarnation: member.incarnation,
    address: `${member.endpoint.address}:${member.endpoint.port}`,
    configurationVersion: member.configurationVersion,
  }));
}
