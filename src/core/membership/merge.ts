/** Takes in news about members: which of it is new, and what follows. */

import { MEMBERSHIP_EVENTS } from '../logging/catalogue/membership.js';
import { log } from '../logging/log-event.js';
import type { MemberUpdate } from '../peer/index.js';
import { isPresent, isSameIncarnation, type Member, supersedes } from './member.js';
import { MAX_LOCAL_HEALTH, SUSPICION_CONFIRMATIONS } from './settings.js';
import { type MembershipStep, withEntry, withoutEntry } from './state.js';

/** Whether news is passed on to others. Whole tables of known fleets are not. */
export type Spreading = 'pass-on' | 'keep';

/** Takes in several updates. */
export function mergeUpdates(
  step: MembershipStep,
  updates: readonly MemberUpdate[],
  spreading: Spreading = 'pass-on',
): void {
  for (const update of updates) {
    mergeUpdate(step, update, spreading);
  }
}

function mergeUpdate(step: MembershipStep, update: MemberUpdate, spreading: Spreading): void {
  if (update.name === step.state.self.name) {
    mergeNewsOfSelf(step, update);
    return;
  }
  const known = step.state.members.get(update.name);
  if (known === undefined || supersedes(update, known)) {
    adopt(step, known, update, spreading);
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

function adopt(
  step: MembershipStep,
  known: Member | undefined,
  update: MemberUpdate,
  spreading: Spreading,
): void {
  const sameLifeAsKnown = known !== undefined && isSameIncarnation(update, known);
  step.putMember({
    ...update,
    statusSince: step.now,
    configurationVersion: sameLifeAsKnown ? known.configurationVersion : null,
  });
  trackSuspicion(step, update);
  if (spreading === 'pass-on') {
    step.enqueueGossip(update.name);
  }
  logNews(step, known, update);
}

function trackSuspicion(step: MembershipStep, update: MemberUpdate): void {
  if (update.status !== 'suspect') {
    step.change({ suspicions: withoutEntry(step.state.suspicions, update.name) });
    return;
  }
  const suspicion = { startedAt: step.now, suspectedBy: suspecters(update) };
  step.change({ suspicions: withEntry(step.state.suspicions, update.name, suspicion) });
}

function suspecters(update: MemberUpdate): readonly string[] {
  return update.suspectedBy === null ? [] : [update.suspectedBy];
}

/** Another daemon's own suspicion of a suspect shortens the suspicion (Lifeguard). */
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

/** A suspicion or death of this very life is contradicted with a higher refutation. */
function mergeNewsOfSelf(step: MembershipStep, update: MemberUpdate): void {
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

function logNews(step: MembershipStep, known: Member | undefined, update: MemberUpdate): void {
  const fields = { member: update.name, memberZone: update.zone, incarnation: update.incarnation };
  const isNewLife = known === undefined || !isSameIncarnation(update, known);
  if (isNewLife && isPresent(update)) {
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
  if (!isNewLife && update.status === 'alive') {
    step.effects.push(log(MEMBERSHIP_EVENTS.recovered, fields));
  }
}
