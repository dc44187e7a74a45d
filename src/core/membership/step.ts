/** Membership's reducer. */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { StepContext, Transition } from '../common/transition.js';
import type {
  MembershipMessage,
  MemberUpdate,
  PeerMessage,
  PeerReceivedEvent,
} from '../peer/index.js';
import { datagram } from '../peer/index.js';
import type { DaemonMachine, Endpoint } from '../registry/backend.js';
import { selectUpdates, zoneHeartbeats } from './gossip.js';
import { contactOthers } from './joining.js';
import { mergeUpdates } from './merge.js';
import {
  continueProbing,
  expireRelayedPings,
  expireSuspicions,
  forwardAck,
  probeOnBehalf,
  restartTimers,
  sendPing,
  succeedProbe,
} from './probing.js';
import { knowsIncarnation, probeGroup } from './queries.js';
import { LEAVE_FANOUT, PAUSE_THRESHOLD_MS } from './settings.js';
import { type MembershipEffect, type MembershipState, MembershipStep } from './state.js';
import {
  compareSummary,
  exchangeSummaries,
  receiveTable,
  recordHeartbeats,
  sendSummary,
} from './zones.js';

/** What membership listens to. Ticks are wanted about every 100 ms. */
export type MembershipEvent =
  | { readonly kind: 'tick' }
  | PeerReceivedEvent
  /** The machine list was read. */
  | { readonly kind: 'daemons-listed'; readonly daemons: readonly DaemonMachine[] }
  /** This daemon is about to stop: it gives up its duties but goes on answering. */
  | { readonly kind: 'leave' }
  /** A row of the table names a life of a daemon, which may have ended before it was known here. */
  | { readonly kind: 'life-named'; readonly daemon: DaemonName; readonly incarnation: Incarnation }
  /** A configuration version came into force on this daemon. */
  | { readonly kind: 'version-in-force'; readonly version: number };

/** One step of membership. */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  context: StepContext,
): Transition<MembershipState, MembershipEffect> {
  const step = new MembershipStep(state, context);
  switch (event.kind) {
    case 'tick':
      tick(step);
      break;
    case 'peer-received':
      receive(step, event);
      break;
    case 'daemons-listed':
      takeList(step, event.daemons);
      break;
    case 'leave':
      leave(step);
      break;
    case 'life-named':
      suspectUnknownLife(step, event.daemon, event.incarnation);
      break;
    case 'version-in-force':
      step.putMember({ ...step.self, configurationVersion: event.version });
      break;
  }
  return step.finish();
}

function takeList(step: MembershipStep, daemons: readonly DaemonMachine[]): void {
  const { self, ownListingAt } = step.state;
  const listed = daemons.filter((daemon) => daemon.name !== self.name);
  const namesSelf = listed.length < daemons.length;
  step.change({ listed, ownListingAt: ownListingAt ?? (namesSelf ? step.now : null) });
}

/** A life that has not been heard from is suspected: it contradicts, or is given up in time. */
function suspectUnknownLife(
  step: MembershipStep,
  daemon: DaemonName,
  incarnation: Incarnation,
): void {
  const { members, listed, self } = step.state;
  if (daemon === self.name || knowsIncarnation(step.state, daemon, incarnation)) {
    return;
  }
  const place = listed.find((machine) => machine.name === daemon);
  const zone = place?.zone ?? members.get(daemon)?.zone;
  const endpoint = place ?? members.get(daemon)?.endpoint;
  if (zone === undefined || endpoint === undefined) {
    return;
  }
  const update: MemberUpdate = {
    name: daemon,
    zone,
    endpoint: { address: endpoint.address, port: endpoint.port },
    incarnation,
    refutation: 0,
    status: 'suspect',
    suspectedBy: self.name,
  };
  mergeUpdates(step, [update]);
}

function tick(step: MembershipStep): void {
  const { lastTickAt } = step.state;
  step.change({ lastTickAt: step.now });
  if (lastTickAt !== null && step.now - lastTickAt > PAUSE_THRESHOLD_MS) {
    restartTimers(step, step.now - lastTickAt);
  }
  if (step.self.status === 'left') {
    return;
  }
  expireRelayedPings(step);
  expireSuspicions(step);
  continueProbing(step);
  contactOthers(step);
  exchangeSummaries(step);
}

function receive(step: MembershipStep, event: PeerReceivedEvent): void {
  if (event.header.sender === step.state.self.name) {
    return;
  }
  const wasStranger = !step.state.members.has(event.header.sender);
  if (isMembershipMessage(event.message)) {
    receiveMessage(step, event, event.message);
  }
  noteVersion(step, event);
  const sender = step.state.members.get(event.header.sender);
  if (wasStranger && sender !== undefined) {
    sendSummary(step, sender.endpoint);
  }
}

function isMembershipMessage(message: PeerMessage): message is MembershipMessage {
  const kinds: readonly string[] = ['ping', 'ack', 'ping-request', 'table-summary', 'table'];
  return kinds.includes(message.kind);
}

function receiveMessage(
  step: MembershipStep,
  { from, header }: PeerReceivedEvent,
  message: MembershipMessage,
): void {
  switch (message.kind) {
    case 'ping':
      if (message.target === '' || message.target === step.state.self.name) {
        mergeUpdates(step, message.updates);
        recordHeartbeats(step, message.heartbeats);
        acknowledge(step, from, message.sequence, header.sender);
      }
      break;
    case 'ack':
      mergeUpdates(step, message.updates);
      recordHeartbeats(step, message.heartbeats);
      succeedProbe(step, message.sequence);
      forwardAck(step, message.sequence);
      break;
    case 'ping-request':
      mergeUpdates(step, message.updates);
      probeOnBehalf(step, from, message);
      break;
    case 'table-summary':
      compareSummary(step, message.replyTo, message.zones);
      break;
    case 'table':
      receiveTable(step, message);
      break;
  }
}

function acknowledge(
  step: MembershipStep,
  to: Endpoint,
  sequence: number,
  sender: DaemonName,
): void {
  const updates = selectUpdates(step, step.state.members.get(sender) ?? null);
  const heartbeats = zoneHeartbeats(step);
  step.effects.push(datagram(to, { kind: 'ack', sequence, updates, heartbeats }));
}

/** Remembers which configuration version the sender has in force. */
function noteVersion(step: MembershipStep, event: PeerReceivedEvent): void {
  const { sender, incarnation, inForce } = event.header;
  const member = step.state.members.get(sender);
  if (member === undefined || member.incarnation !== incarnation || inForce === null) {
    return;
  }
  if (inForce > (member.configurationVersion ?? -1)) {
    step.putMember({ ...member, configurationVersion: inForce });
  }
}

function leave(step: MembershipStep): void {
  const group = probeGroup(step.state);
  step.putMember({ ...step.self, status: 'left', statusSince: step.now });
  step.enqueueGossip(step.state.self.name);
  for (const member of step.random.sample(group, LEAVE_FANOUT)) {
    sendPing(step, member.endpoint, member);
  }
  step.change({ probe: null });
}
