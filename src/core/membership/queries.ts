/** Queries of the membership state by other components. */
import type { BackendName, DaemonName, Incarnation, ZoneName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { hash32 } from '../peer/index.js';
import type { Endpoint } from '../registry/backend.js';
import { isPresent, type Member } from './member.js';
import {
  JOIN_SETTLE_MS,
  LIST_SETTLE_MS,
  SINGLE_PROBE_GROUP_MAX_DAEMONS,
  ZONE_TIMEOUT_MS,
} from './settings.js';
import type { MembershipState } from './state.js';
import { tableIndexOf } from './table.js';

/**
 * Whether the fleet is small enough that all daemons probe one another across zones. Listed daemons
 * count too, so that a daemon that has just started does not mistake a large fleet for a small one.
 */
export function isSingleProbeGroup(state: MembershipState): boolean {
  const present = tableIndexOf(state.members).present.length;
  return Math.max(present, state.listed.length + 1) <= SINGLE_PROBE_GROUP_MAX_DAEMONS;
}

/** The daemons that this one probes and gossips with, excluding itself. */
export function probeGroup(state: MembershipState): readonly Member[] {
  const { present, zones } = tableIndexOf(state.members);
  const group = isSingleProbeGroup(state) ? present : zones.get(state.self.zone)?.present;
  return (group ?? []).filter((member) => member.name !== state.self.name);
}

/**
 * Whether a zone's heartbeat still advances. Always true for this daemon's zone and in a small
 * fleet.
 */
export function isZoneReachable(state: MembershipState, zone: ZoneName): boolean {
  if (zone === state.self.zone || isSingleProbeGroup(state)) {
    return true;
  }
  const view = state.zones.get(zone);
  return view !== undefined && state.observedAt - view.advancedAt < ZONE_TIMEOUT_MS;
}

/**
 * Zones with members whose heartbeat has stopped: cut off or down, which can't be distinguished.
 */
export function unreachableZones(state: MembershipState): readonly ZoneName[] {
  const zones = [...tableIndexOf(state.members).zones.keys()];
  return zones.filter((zone) => !isZoneReachable(state, zone)).sort();
}

/** The daemons that are alive and in a reachable zone, including this one. */
export function aliveMembers(state: MembershipState): readonly Member[] {
  const zones = [...tableIndexOf(state.members).zones];
  return zones.flatMap(([zone, { alive }]) => (isZoneReachable(state, zone) ? alive : []));
}

/**
 * The daemons among which duties are distributed: the alive ones and, until this daemon has had
 * time to join the fleet, the listed ones that it does not know yet. Without these a starting
 * daemon would assign all duties to itself.
 */
export function dutyCandidates(state: MembershipState): readonly WatcherCandidate[] {
  const alive = aliveMembers(state);
  const startedAt = state.startedAt ?? state.observedAt;
  if (state.observedAt - startedAt >= JOIN_SETTLE_MS) {
    return alive;
  }
  const unknown = state.listed.filter((machine) => !state.members.has(machine.name));
  return [...alive, ...unknown];
}

/** Whether daemons that started together with this one may still be missing in the machine list. */
export function mayLackDaemons(state: MembershipState, now: MonotonicMs): boolean {
  return state.ownListingAt === null || now - state.ownListingAt < LIST_SETTLE_MS;
}

/** Whether this incarnation of the daemon, or a later one, is in the table. */
export function knowsIncarnation(
  state: MembershipState,
  daemon: DaemonName,
  incarnation: Incarnation,
): boolean {
  return (state.members.get(daemon)?.incarnation ?? Number.NEGATIVE_INFINITY) >= incarnation;
}

/**
 * Whether this incarnation of the daemon is known to have ended: a later one was seen, it announced
 * its leave, or it was declared dead. The last is an inference, not a proof: a daemon that is cut
 * off may still run.
 */
export function hasIncarnationEnded(
  state: MembershipState,
  daemon: DaemonName,
  incarnation: Incarnation,
): boolean {
  const member = state.members.get(daemon);
  if (member === undefined || member.incarnation < incarnation) {
    return false;
  }
  return member.incarnation > incarnation || !isPresent(member);
}

/** The fields of a daemon that the choice of a watcher uses. */
export interface WatcherCandidate {
  readonly name: DaemonName;
  readonly zone: ZoneName;
}

/**
 * The daemon that polls an engine: the one with the highest rendezvous hash (Thaler and Ravishankar
 * 1998) among the given daemons of its zone, or among all when its zone has none. Null when there
 * are none.
 */
export function watcherOf(
  engine: BackendName,
  zone: ZoneName,
  members: readonly WatcherCandidate[],
): DaemonName | null {
  return (
    highestHash(
      engine,
      members.filter((member) => member.zone === zone),
    ) ?? highestHash(engine, members)
  );
}

function highestHash(
  engine: BackendName,
  candidates: readonly WatcherCandidate[],
): DaemonName | null {
  let best: DaemonName | null = null;
  let bestHash = -1;
  for (const { name } of candidates) {
    const hash = hash32(`${engine} ${name}`);
    if (hash > bestHash || (hash === bestHash && best !== null && name < best)) {
      best = name;
      bestHash = hash;
    }
  }
  return best;
}

/** The daemons of a zone that exchange summaries with other zones. */
export function relaysOf(state: MembershipState, zone: ZoneName): readonly Member[] {
  return tableIndexOf(state.members).zones.get(zone)?.relays ?? [];
}

/** The endpoint of a daemon's peer transport; null if the daemon is unknown, dead or has left. */
export function endpointOf(state: MembershipState, daemon: DaemonName): Endpoint | null {
  const member = state.members.get(daemon);
  return member !== undefined && isPresent(member) ? member.endpoint : null;
}
