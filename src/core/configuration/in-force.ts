/** Brings a configuration into force: never a lower version than the one that is. */
import { CONFIGURATION_EVENTS } from '../logging/catalogue/configuration.js';
import { log } from '../logging/log-event.js';
import { isPresent, type Member } from '../membership/index.js';
import { datagram } from '../peer/index.js';
import { ANNOUNCE_FANOUT, ORIGIN_FANOUT } from './constants.js';
import type { VersionedConfiguration } from './document.js';
import type { ConfigurationStep } from './state.js';

/** Where a configuration came from. `change`: recorded by this daemon for an operator. */
export type ConfigurationSource = 'store' | 'peer' | 'change';

/** Brings a configuration into force unless it is not newer; tells others. */
export function bringIntoForce(
  step: ConfigurationStep,
  configuration: VersionedConfiguration,
  source: ConfigurationSource,
): void {
  recordKnownVersion(step, configuration.version);
  if (configuration.version <= inForceVersion(step)) {
    return;
  }
  step.updateState({ inForce: configuration });
  forgetLowerHolders(step);
  becomeReady(step);
  const fields = { version: configuration.version, source };
  step.effects.push(log(CONFIGURATION_EVENTS.inForce, fields));
  announce(step, source);
  confirmToOrigins(step);
}

/** The version in force here; -1 while there is none. */
export function inForceVersion(step: ConfigurationStep): number {
  return step.state.inForce?.version ?? -1;
}

/** Remembers that a version exists. */
export function recordKnownVersion(step: ConfigurationStep, version: number): void {
  if (version > step.state.highestVersion) {
    step.updateState({ highestVersion: version });
  }
}

/** A daemon is ready once nothing higher than what it has in force has been heard of. */
function becomeReady(step: ConfigurationStep): void {
  if (!step.state.ready && inForceVersion(step) >= step.state.highestVersion) {
    step.updateState({ ready: true });
  }
}

function forgetLowerHolders(step: ConfigurationStep): void {
  const holders = [...step.state.holders].filter(([, version]) => version > inForceVersion(step));
  step.updateState({ holders: new Map(holders) });
}

function announce(step: ConfigurationStep, source: ConfigurationSource): void {
  const version = inForceVersion(step);
  const isOrigin = source === 'change';
  const origin = isOrigin ? step.state.self.endpoint : (step.state.origins[0] ?? null);
  const behind = otherMembers(step).filter(
    (member) => (member.configurationVersion ?? -1) < version,
  );
  for (const member of step.random.sample(behind, isOrigin ? ORIGIN_FANOUT : ANNOUNCE_FANOUT)) {
    const message = { kind: 'configuration-announce', version, origin } as const;
    step.effects.push(datagram(member.endpoint, message));
  }
}

/** All other daemons that are present. */
export function otherMembers(step: ConfigurationStep): readonly Member[] {
  return [...step.membership.members.values()].filter(
    (member) => member.name !== step.state.self.name && isPresent(member),
  );
}

function confirmToOrigins(step: ConfigurationStep): void {
  const version = inForceVersion(step);
  for (const origin of step.state.origins) {
    step.effects.push(datagram(origin, { kind: 'configuration-confirm', version }));
  }
  step.updateState({ origins: [] });
}
