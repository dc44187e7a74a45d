/** Chooses the updates that ride on a message: the least often sent first, within a size limit. */
import type { MemberUpdate, ZoneHeartbeat } from '../peer/index.js';
import { type Member, toUpdate } from './member.js';
import { isSingleProbeGroup, probeGroup } from './queries.js';
import { MAX_UPDATE_BYTES, RETRANSMIT_MULTIPLIER } from './settings.js';
import type { MembershipStep } from './state.js';

/** An update's fixed part on the wire: numbers, status and lengths. */
const UPDATE_OVERHEAD_BYTES = 30;

/**
 * The updates for a message: the sender's own entry, the receiver's when it should contradict it
 * (Lifeguard's buddy system), then what others should hear.
 */
export function selectUpdates(
  step: MembershipStep,
  receiver: Member | null,
): readonly MemberUpdate[] {
  const updates: MemberUpdate[] = [toUpdate(step.self)];
  if (receiver !== null && receiver.status !== 'alive') {
    updates.push(toUpdate(receiver));
  }
  let bytes = updates.reduce((sum, update) => sum + updateBytes(update), 0);
  const limit = transmitLimit(probeGroup(step.state).length);
  const gossip = new Map(step.state.gossip);
  for (const [name, sent] of leastSentFirst(gossip)) {
    const member = step.state.members.get(name);
    if (member === undefined) {
      gossip.delete(name);
      continue;
    }
    const isIncluded = updates.some((update) => update.name === name);
    bytes += isIncluded ? 0 : updateBytes(member);
    if (bytes > MAX_UPDATE_BYTES) {
      break;
    }
    if (!isIncluded) {
      updates.push(toUpdate(member));
    }
    countTransmission(gossip, name, sent, limit);
  }
  step.change({ gossip });
  return updates;
}

function leastSentFirst(
  gossip: ReadonlyMap<string, number>,
): readonly (readonly [string, number])[] {
  return [...gossip].sort((one, other) => one[1] - other[1]);
}

function countTransmission(
  gossip: Map<string, number>,
  name: string,
  sent: number,
  limit: number,
): void {
  if (sent + 1 >= limit) {
    gossip.delete(name);
  } else {
    gossip.set(name, sent + 1);
  }
}

function transmitLimit(groupSize: number): number {
  return RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(groupSize + 2));
}

function updateBytes(update: MemberUpdate): number {
  const texts = update.name.length + update.zone.length + update.endpoint.address.length;
  return UPDATE_OVERHEAD_BYTES + texts + (update.suspectedBy?.length ?? 0);
}

/** The heartbeats of all zones, for a fleet that is split by zone. */
export function zoneHeartbeats(step: MembershipStep): readonly ZoneHeartbeat[] {
  if (isSingleProbeGroup(step.state)) {
    return [];
  }
  return [...step.state.zones].map(([zone, view]) => ({ zone, heartbeat: view.heartbeat }));
}
