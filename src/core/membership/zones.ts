/** Exchange of whole tables: between zones by their relays, within a group to repair lost news. */
import type { ZoneName } from '../common/identifiers.js';
import {
  datagram,
  type MemberUpdate,
  stream,
  type ZoneHeartbeat,
  type ZoneSummary,
} from '../peer/index.js';
import type { Endpoint } from '../registry/backend.js';
import { isPresent, type Member, toUpdate } from './member.js';
import { mergeUpdates } from './merge.js';
import { isSingleProbeGroup, isZoneReachable, probeGroup, relaysOf } from './queries.js';
import {
  DEPARTED_RETENTION_MS,
  MAX_GOSSIPED_TABLE_UPDATES,
  RELAY_INTERVAL_MS,
  SUMMARY_INTERVAL_MS,
  TABLE_INTERVAL_MS,
} from './settings.js';
import { type MembershipState, type MembershipStep, withEntry } from './state.js';
import { tableIndexOf } from './table.js';

/** Sends summaries to other zones (relays) and to a random member of the group, when it is time. */
export function exchangeSummaries(step: MembershipStep): void {
  if (step.now >= step.state.nextRelayAt) {
    step.change({ nextRelayAt: step.now + RELAY_INTERVAL_MS });
    actAsRelay(step);
  }
  if (step.now >= step.state.nextSummaryAt) {
    const jitter = step.random.below(RELAY_INTERVAL_MS);
    step.change({ nextSummaryAt: step.now + SUMMARY_INTERVAL_MS - RELAY_INTERVAL_MS / 2 + jitter });
    forgetGoneMembers(step);
    const other = step.random.pick(probeGroup(step.state));
    if (other !== undefined) {
      sendSummary(step, other.endpoint);
    }
  }
}

function actAsRelay(step: MembershipStep): void {
  const { state } = step;
  const isRelay = relaysOf(state, state.self.zone).some((relay) => relay.name === state.self.name);
  if (isSingleProbeGroup(state) || !isRelay) {
    return;
  }
  hearZone(step, state.self.zone, (state.zones.get(state.self.zone)?.heartbeat ?? 0) + 1);
  const zones = new Set([...state.members.values()].map((member) => member.zone));
  zones.delete(state.self.zone);
  for (const zone of zones) {
    const receiver = step.random.pick(receiversIn(step.state, zone));
    if (receiver !== undefined) {
      sendSummary(step, receiver.endpoint);
    }
  }
}

/** A zone's relays; when it is not heard, any of its members, since its relays may be gone. */
function receiversIn(state: MembershipState, zone: ZoneName): readonly Member[] {
  if (isZoneReachable(state, zone)) {
    return relaysOf(state, zone);
  }
  return [...state.members.values()].filter(
    (member) => member.zone === zone && member.status !== 'left',
  );
}

/** Sends this daemon's summary of all zones. */
export function sendSummary(step: MembershipStep, to: Endpoint): void {
  const replyTo = step.state.self.endpoint;
  const zones = summarize(step.state);
  step.effects.push(datagram(to, { kind: 'table-summary', replyTo, zones }));
}

/** Each zone's hash and heartbeat. */
function summarize(state: MembershipState): readonly ZoneSummary[] {
  return [...tableIndexOf(state.members).zones].map(([zone, { hash }]) => ({
    zone,
    hash,
    heartbeat: state.zones.get(zone)?.heartbeat ?? 0,
  }));
}

/** Answers a summary that differs from the own one with whole tables. */
export function compareSummary(
  step: MembershipStep,
  replyTo: Endpoint,
  theirs: readonly ZoneSummary[],
): void {
  recordHeartbeats(step, theirs);
  const own = new Map(summarize(step.state).map((summary) => [summary.zone, summary.hash]));
  const differing = theirs
    .filter((summary) => own.get(summary.zone) !== summary.hash)
    .map((summary) => summary.zone);
  const theirZones = new Set(theirs.map((summary) => summary.zone));
  const missing = [...own.keys()].filter((zone) => !theirZones.has(zone));
  if (differing.length + missing.length === 0 || step.now < step.state.nextTableAt) {
    return;
  }
  step.change({ nextTableAt: step.now + TABLE_INTERVAL_MS });
  sendTable(step, replyTo, [...differing, ...missing], true);
}

function sendTable(
  step: MembershipStep,
  to: Endpoint,
  zones: readonly ZoneName[],
  answerWanted: boolean,
): void {
  const members = [...step.state.members.values()]
    .filter((member) => zones.includes(member.zone))
    .map(toUpdate);
  const replyTo = step.state.self.endpoint;
  step.effects.push(stream(to, { kind: 'table', replyTo, zones, members, answerWanted }));
}

/** Takes in whole tables and answers with the own ones when asked. */
export function receiveTable(
  step: MembershipStep,
  table: {
    readonly replyTo: Endpoint;
    readonly zones: readonly ZoneName[];
    readonly members: readonly MemberUpdate[];
    readonly answerWanted: boolean;
  },
): void {
  const isBulk = table.members.length > MAX_GOSSIPED_TABLE_UPDATES;
  mergeUpdates(step, table.members, isBulk ? 'keep' : 'pass-on');
  if (table.answerWanted) {
    sendTable(step, table.replyTo, table.zones, false);
  }
}

/** Takes in several zones' heartbeats. */
export function recordHeartbeats(step: MembershipStep, heartbeats: readonly ZoneHeartbeat[]): void {
  for (const { zone, heartbeat } of heartbeats) {
    hearZone(step, zone, heartbeat);
  }
}

function hearZone(step: MembershipStep, zone: ZoneName, heartbeat: number): void {
  const known = step.state.zones.get(zone);
  if (known === undefined || heartbeat > known.heartbeat) {
    const view = { heartbeat, advancedAt: step.now };
    step.change({ zones: withEntry(step.state.zones, zone, view) });
  }
}

function forgetGoneMembers(step: MembershipStep): void {
  const gone = [...step.state.members.values()].filter(
    (member) =>
      !isPresent(member) &&
      member.name !== step.state.self.name &&
      step.now - member.statusSince >= DEPARTED_RETENTION_MS,
  );
  if (gone.length === 0) {
    return;
  }
  const members = new Map(step.state.members);
  for (const member of gone) {
    members.delete(member.name);
  }
  step.change({ members });
}
