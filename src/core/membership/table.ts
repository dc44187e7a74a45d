/**
 * What follows from the table of members, worked out once for each table: tables are replaced, not
 * changed, so the outcome is remembered by the table's identity.
 */
import type { DaemonName, ZoneName } from '../common/identifiers.js';
import { hash32 } from '../peer/index.js';
import { isPresent, type Member } from './member.js';
import { RELAYS_PER_ZONE } from './settings.js';

/** All members by name. */
export type MemberTable = ReadonlyMap<DaemonName, Member>;

/** One zone's members. */
export interface ZoneMembers {
  /** Alive or suspected. */
  readonly present: readonly Member[];
  readonly alive: readonly Member[];
  /** The daemons that exchange summaries with other zones. */
  readonly relays: readonly Member[];
  /** Equal on daemons that know the same lives and refutations. */
  readonly hash: number;
}

/** What follows from a table. */
export interface TableIndex {
  readonly present: readonly Member[];
  /** Zones with at least one present member. */
  readonly zones: ReadonlyMap<ZoneName, ZoneMembers>;
}

const remembered = new WeakMap<MemberTable, TableIndex>();

/** What follows from the table. */
export function tableIndexOf(table: MemberTable): TableIndex {
  let facts = remembered.get(table);
  if (facts === undefined) {
    facts = workOut(table);
    remembered.set(table, facts);
  }
  return facts;
}

/** Must be called after a table that is not shared yet was changed in place. */
export function invalidateTableIndex(table: MemberTable): void {
  remembered.delete(table);
}

function workOut(table: MemberTable): TableIndex {
  const present = [...table.values()].filter(isPresent);
  const byZone = new Map<ZoneName, Member[]>();
  for (const member of present) {
    const zone = byZone.get(member.zone);
    if (zone === undefined) byZone.set(member.zone, [member]);
    else zone.push(member);
  }
  const zones = new Map<ZoneName, ZoneMembers>();
  for (const [zone, members] of byZone) {
    zones.set(zone, zoneMembers(members));
  }
  return { present, zones };
}

function zoneMembers(present: readonly Member[]): ZoneMembers {
  const alive = present.filter((member) => member.status === 'alive');
  let hash = 0;
  for (const member of present) {
    hash ^= hash32(`${member.name} ${member.incarnation} ${member.refutation}`);
  }
  return { present, alive, relays: chooseRelays(alive), hash: hash >>> 0 };
}

/** The same choice on every daemon that knows the same members. */
function chooseRelays(alive: readonly Member[]): readonly Member[] {
  return alive
    .map((member) => ({ member, hash: hash32(`relay ${member.name}`) }))
    .sort((one, other) => one.hash - other.hash || compareNames(one.member, other.member))
    .slice(0, RELAYS_PER_ZONE)
    .map((candidate) => candidate.member);
}

function compareNames(one: Member, other: Member): number {
  return one.name < other.name ? -1 : 1;
}
