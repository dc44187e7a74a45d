/** Merges updates about members into the table: detects new ones and applies their consequences. */

import { MEMBERSHIP_EVENTS } from '../logging/catalogue/membership.js';
import { log } from '../logging/log-event.js';
import type { MemberUpdate } from '../peer/index.js';
import { isPresent, isSameIncarnation, type Member, supersedes } from './member.js';
import { MAX_LOCAL_HEALTH, SUSPICION_CONFIRMATIONS } from './settings.js';
import { type MembershipStep, withEntry, withoutEntry } from './state.js';

/** Whether merged updates are gossiped to others (`pass-on`). Large tables are not (`keep`). */
export type Propagation = 'pass-on' | 'keep';

export function mergeUpdates(
  step: MembershipStep,
  updates: readonly MemberUpdate[],
  propagation: Propagation = 'pass-on',
): void {
  for (const update of updates) {
    mergeUpdate(step, update, propagation);
  }
}

function mergeUpdate(step: MembershipStep, update: MemberUpdate, propagation: Propagation): void {
  if (update.name === step.state.self.name) {
    mergeUpdateOfSelf(step, update);
    return;
  }
  const known = step.state.members.get(update.name);
  if (known === undefined || supersedes(update, known)) {
    applyUpdate(step, known, update, propagation);
  } else if (update.status === 'suspect' && isSameSuspicion(update, known)) {
    confirmSuspicion(step, update);
  }
}

function isSameSuspicion(update: MemberUpdate, known: Member): boolean {
  return (
    known.status === 'suspect' &&
    isSameIncarnation(update, known) &&
    update.refutation === known.refutation
  );
}

function applyUpdate(
  step: MembershipStep,
  known: Member | undefined,
  update: MemberUpdate,
  propagation: Propagation,
): void {
  const isKnownIncarnation = known !== undefined && isSameIncarnation(update, known);
  step.putMember({
    ...update,
    statusSince: step.now,
    configurationVersion: isKnownIncarnation ? known.configurationVersion : null,
  });
  trackSuspicion(step, update);
  if (propagation === 'pass-on') {
    step.enqueueGossip(update.name);
  }
  logUpdate(step, known, update);
}

function trackSuspicion(step: MembershipStep, update: MemberUpdate): void {
  if (update.status !== 'suspect') {
    step.change({ suspicions: withoutEntry(step.state.suspicions, update.name) });
    return;
  }
  const suspicion = { startedAt: step.now, suspectedBy: suspectorsOf(update) };
  step.change({ suspicions: withEntry(step.state.suspicions, update.name, suspicion) });
}

function suspectorsOf(update: MemberUpdate): readonly string[] {
  return update.suspectedBy === null ? [] : [update.suspectedBy];
}

/** An independent suspicion by another daemon shortens the suspicion timeout (Lifeguard). */
function confirmSuspicion(step: MembershipStep, update: MemberUpdate): void {
  const suspicion = step.state.suspicions.get(update.name);
  const by = update.suspectedBy;
  if (suspicion === undefined || by === null || suspicion.suspectedBy.includes(by)) {
    return;
  }
  if (suspicion.suspectedBy.length > SUSPICION_CONFIRMATIONS) {
    return;
  }
  const confirmed = { ...suspicion, suspectedBy: [...suspicion.suspectedBy, by] };
  step.change({ suspicions: withEntry(step.state.suspicions, update.name, confirmed) });
  const member = step.state.members.get(update.name);
  if (member !== undefined) {
    step.putMember({ ...member, suspectedBy: by });
    step.enqueueGossip(update.name);
  }
}

/** Refutes a `suspect` or `dead` update about this incarnation with a higher refutation. */
function mergeUpdateOfSelf(step: MembershipStep, update: MemberUpdate): void {
  const self = step.self;
  if (update.incarnation > self.incarnation) {
    const fields = { name: self.name, own: self.incarnation, seen: update.incarnation };
    step.effects.push(log(MEMBERSHIP_EVENTS.nameTaken, fields));
    return;
  }
  const isAccusation = update.incarnation === self.incarnation && update.status !== 'alive';
  if (!isAccusation || update.refutation < self.refutation || self.status === 'left') {
    return;
  }
  step.putMember({ ...self, refutation: update.refutation + 1, statusSince: step.now });
  step.enqueueGossip(self.name);
  step.change({ localHealth: Math.min(MAX_LOCAL_HEALTH, step.state.localHealth + 1) });
  const by = update.suspectedBy ?? 'unknown';
  step.effects.push(log(MEMBERSHIP_EVENTS.refuted, { status: update.status, by }));
}

function logUpdate(step: MembershipStep, known: Member | undefined, update: MemberUpdate): void {
  const fields = { member: update.name, memberZone: update.zone, incarnation: update.incarnation };
  const isNewIncarnation = known === undefined || !isSameIncarnation(update, known);
  if (isNewIncarnation && isPresent(update)) {
    step.effects.push(log(MEMBERSHIP_EVENTS.joined, fields));
  }
  if (update.status === 'suspect') {
    step.effects.push(
      log(MEMBERSHIP_EVENTS.suspected, { ...fields, by: update.suspectedBy ?? 'unknown' }),
    );
  }
  if (update.status === 'dead' && known !== undefined) {
    step.effects.push(log(MEMBERSHIP_EVENTS.died, fields));
  }
  if (update.status === 'left' && known !== undefined) {
    step.effects.push(log(MEMBERSHIP_EVENTS.left, fields));
  }
  if (!isNewIncarnation && update.status === 'alive') {
    step.effects.push(log(MEMBERSHIP_EVENTS.recovered, fields));
  }
}
