/** Failure detection: one probe an interval, indirect probes, suspicion and its end (SWIM). */

import { MEMBERSHIP_EVENTS } from '../logging/catalogue/membership.js';
import { log } from '../logging/log-event.js';
import { datagram } from '../peer/index.js';
import type { Endpoint } from '../registry/backend.js';
import { selectUpdates, zoneHeartbeats } from './gossip.js';
import { isPresent, type Member } from './member.js';
import { mergeUpdates } from './merge.js';
import { probeGroup } from './queries.js';
import {
  INDIRECT_PROBES,
  MAX_LOCAL_HEALTH,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  SUSPICION_CONFIRMATIONS,
  SUSPICION_MULTIPLIER,
  UNCONFIRMED_SUSPICION_FACTOR,
} from './settings.js';
import {
  type MembershipStep,
  type Probe,
  type Suspicion,
  withEntry,
  withoutEntry,
} from './state.js';

/** Sends a ping; returns its sequence number. */
export function sendPing(step: MembershipStep, to: Endpoint, target: Member | null): number {
  const sequence = step.nextSequence();
  const updates = selectUpdates(step, target);
  const heartbeats = zoneHeartbeats(step);
  const name = target?.name ?? '';
  step.effects.push(datagram(to, { kind: 'ping', sequence, target: name, updates, heartbeats }));
  return sequence;
}

/** Carries the probe under way further, and starts the next when it is time. */
export function continueProbing(step: MembershipStep): void {
  const probe = step.state.probe;
  if (probe !== null && !probe.indirectSent && step.now >= probe.indirectAt) {
    askOthersToProbe(step, probe);
  }
  if (step.now < step.state.nextProbeAt) {
    return;
  }
  if (step.state.probe !== null) {
    failProbe(step, step.state.probe);
  }
  startProbe(step);
}

function startProbe(step: MembershipStep): void {
  const stretch = 1 + step.state.localHealth;
  step.change({ probe: null, nextProbeAt: step.now + PROBE_INTERVAL_MS * stretch });
  const target = takeNextTarget(step);
  if (target === null) {
    return;
  }
  const sequence = sendPing(step, target.endpoint, target);
  const probe: Probe = {
    target: target.name,
    incarnation: target.incarnation,
    sequence,
    indirectAt: step.now + PROBE_TIMEOUT_MS * stretch,
    endsAt: step.state.nextProbeAt,
    indirectSent: false,
  };
  step.change({ probe });
}

/** Goes round the group in an order drawn anew for each round, so that each is probed in turn. */
function takeNextTarget(step: MembershipStep): Member | null {
  const group = new Map(probeGroup(step.state).map((member) => [member.name, member]));
  let order = step.state.probeOrder.filter((name) => group.has(name));
  if (order.length === 0) {
    order = step.random.shuffled([...group.keys()]);
  }
  const [next, ...rest] = order;
  step.change({ probeOrder: rest });
  return next === undefined ? null : (group.get(next) ?? null);
}

function askOthersToProbe(step: MembershipStep, probe: Probe): void {
  step.change({ probe: { ...probe, indirectSent: true } });
  const target = step.state.members.get(probe.target);
  if (target === undefined) {
    return;
  }
  const others = probeGroup(step.state).filter(
    (member) => member.name !== probe.target && member.status === 'alive',
  );
  for (const other of step.random.sample(others, INDIRECT_PROBES)) {
    const updates = selectUpdates(step, other);
    const request = {
      kind: 'ping-request',
      sequence: probe.sequence,
      target: target.name,
    } as const;
    step.effects.push(datagram(other.endpoint, { ...request, endpoint: target.endpoint, updates }));
  }
}

function failProbe(step: MembershipStep, probe: Probe): void {
  worsenHealth(step);
  const target = step.state.members.get(probe.target);
  if (target === undefined || target.incarnation !== probe.incarnation || !isPresent(target)) {
    return;
  }
  const suspectedBy = step.state.self.name;
  mergeUpdates(step, [{ ...target, status: 'suspect', suspectedBy }]);
}

/** An ack came for the probe under way. */
export function succeedProbe(step: MembershipStep, sequence: number): void {
  if (step.state.probe?.sequence !== sequence) {
    return;
  }
  step.change({ probe: null, localHealth: Math.max(0, step.state.localHealth - 1) });
}

/** A daemon whose own probes fail may itself be slow: it gives others more time (Lifeguard). */
function worsenHealth(step: MembershipStep): void {
  step.change({ localHealth: Math.min(MAX_LOCAL_HEALTH, step.state.localHealth + 1) });
}

/** Gives up the suspects that have not contradicted in time. */
export function expireSuspicions(step: MembershipStep): void {
  if (step.state.suspicions.size === 0) {
    return;
  }
  const groupSize = probeGroup(step.state).length + 1;
  for (const [name, suspicion] of step.state.suspicions) {
    const member = step.state.members.get(name);
    if (member === undefined) {
      step.change({ suspicions: withoutEntry(step.state.suspicions, name) });
    } else if (step.now - suspicion.startedAt >= suspicionMs(suspicion, groupSize)) {
      mergeUpdates(step, [{ ...member, status: 'dead', suspectedBy: null }]);
    }
  }
}

/** How long a suspicion lasts: the more daemons share it, the shorter. */
function suspicionMs(suspicion: Suspicion, groupSize: number): number {
  const shortest = SUSPICION_MULTIPLIER * Math.max(1, Math.log10(groupSize)) * PROBE_INTERVAL_MS;
  const wanted = Math.min(SUSPICION_CONFIRMATIONS, Math.max(0, groupSize - 3));
  if (wanted === 0) {
    return shortest;
  }
  const confirmations = Math.min(wanted, Math.max(0, suspicion.suspectedBy.length - 1));
  const shortening = Math.log(confirmations + 1) / Math.log(wanted + 1);
  return (
    shortest * (UNCONFIRMED_SUSPICION_FACTOR - (UNCONFIRMED_SUSPICION_FACTOR - 1) * shortening)
  );
}

/** After a pause of this process every silence may be its own: all timers start afresh. */
export function restartTimers(step: MembershipStep, pausedMs: number): void {
  const suspicions = new Map(step.state.suspicions);
  for (const [name, suspicion] of suspicions) {
    suspicions.set(name, { ...suspicion, startedAt: suspicion.startedAt + pausedMs });
  }
  const zones = new Map(step.state.zones);
  for (const [zone, view] of zones) {
    zones.set(zone, { ...view, advancedAt: view.advancedAt + pausedMs });
  }
  step.change({ suspicions, zones, probe: null, nextProbeAt: step.now });
  step.effects.push(log(MEMBERSHIP_EVENTS.paused, { pausedMs: Math.round(pausedMs) }));
}

/** Pings a daemon for another one. */
export function probeOnBehalf(
  step: MembershipStep,
  replyTo: Endpoint,
  request: { readonly sequence: number; readonly target: string; readonly endpoint: Endpoint },
): void {
  const target = step.state.members.get(request.target);
  if (target === undefined) {
    return;
  }
  const sequence = sendPing(step, request.endpoint, target);
  const expiresAt = step.now + PROBE_INTERVAL_MS;
  const relayed = { replyTo, sequence: request.sequence, expiresAt };
  step.change({ relayedPings: withEntry(step.state.relayedPings, sequence, relayed) });
}

/** Passes on the ack of a ping that was sent for another daemon. */
export function forwardAck(step: MembershipStep, sequence: number): void {
  const relayed = step.state.relayedPings.get(sequence);
  if (relayed === undefined) {
    return;
  }
  step.change({ relayedPings: withoutEntry(step.state.relayedPings, sequence) });
  const updates = selectUpdates(step, null);
  const heartbeats = zoneHeartbeats(step);
  const ack = { kind: 'ack', sequence: relayed.sequence, updates, heartbeats } as const;
  step.effects.push(datagram(relayed.replyTo, ack));
}

/** Forgets pings for others that were never answered. */
export function expireRelayedPings(step: MembershipStep): void {
  for (const [sequence, relayed] of step.state.relayedPings) {
    if (step.now >= relayed.expiresAt) {
      step.change({ relayedPings: withoutEntry(step.state.relayedPings, sequence) });
    }
  }
}
