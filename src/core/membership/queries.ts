/** Questions that other parts put to the membership table. */
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
 * Whether the fleet is so small that all probe one another across zones. The machine list counts
 * too, so that a daemon that has just started does not take a large fleet for a small one.
 */
export function isSingleProbeGroup(state: MembershipState): boolean {
  const present = tableIndexOf(state.members).present.length;
  return Math.max(present, state.listed.length + 1) <= SINGLE_PROBE_GROUP_MAX_DAEMONS;
}

/** The daemons that this one probes and gossips with; itself excepted. */
export function probeGroup(state: MembershipState): readonly Member[] {
  const { present, zones } = tableIndexOf(state.members);
  const group = isSingleProbeGroup(state) ? present : zones.get(state.self.zone)?.present;
  return (group ?? []).filter((member) => member.name !== state.self.name);
}

/** Whether a zone's heartbeat is still heard. Always true of the own zone and in a small fleet. */
export function isZoneReachable(state: MembershipState, zone: ZoneName): boolean {
  if (zone === state.self.zone || isSingleProbeGroup(state)) {
    return true;
  }
  const view = state.zones.get(zone);
  return view !== undefined && state.observedAt - view.advancedAt < ZONE_TIMEOUT_MS;
}

/** Zones that have members but whose heartbeat stands still: cut off or down, which is not known. */
export function unreachableZones(state: MembershipState): readonly ZoneName[] {
  const zones = [...tableIndexOf(state.members).zones.keys()];
  return zones.filter((zone) => !isZoneReachable(state, zone)).sort();
}

/** The daemons that may be counted on, this one included: alive, in a zone that is heard. */
export function aliveMembers(state: MembershipState): readonly Member[] {
  const zones = [...tableIndexOf(state.members).zones];
  return zones.flatMap(([zone, { alive }]) => (isZoneReachable(state, zone) ? alive : []));
}

/**
 * The daemons among which duties are shared out: those that may be counted on and, while this one
 * has just started and may not know them yet, those that the machine list names. Without them a
 * starting daemon would take all duties upon itself.
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

/** Whether the machine list may still lack daemons that started when this one did. */
export function mayLackDaemons(state: MembershipState, now: MonotonicMs): boolean {
  return state.ownListingAt === null || now - state.ownListingAt < LIST_SETTLE_MS;
}

/** Whether that life of the daemon, or a later one, has been heard of. */
export function knowsIncarnation(
  state: MembershipState,
  daemon: DaemonName,
  incarnation: Incarnation,
): boolean {
  return (state.members.get(daemon)?.incarnation ?? Number.NEGATIVE_INFINITY) >= incarnation;
}

/**
 * Whether that life of the daemon is known to be over: a later life was seen, it announced its
 * leave, or the others gave it up. The last is a conclusion, not a proof: a daemon that is cut off
 * may still run.
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

/** What the choice of a watcher needs to know of a daemon. */
export interface WatcherCandidate {
  readonly name: DaemonName;
  readonly zone: ZoneName;
}

/**
 * The daemon that polls an engine: the highest rendezvous hash (Thaler and Ravishankar 1998) among
 * the given daemons of its zone, or among all when its zone has none. Null when there are none.
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

/** Where a daemon's peer transport listens, or null for one that is unknown or gone. */
export function endpointOf(state: MembershipState, daemon: DaemonName): Endpoint | null {
  const member = state.members.get(daemon);
  return member !== undefined && isPresent(member) ? member.endpoint : null;
}
