/** Discovery of other daemons from the (lagging) machine list and seeds, and after a partition. */
import type { Endpoint } from '../registry/backend.js';
import { isPresent, type Member } from './member.js';
import { sendPing } from './probing.js';
import { probeGroup } from './queries.js';
import { CONTACT_INTERVAL_MS, JOIN_CONTACT_INTERVAL_MS, JOIN_CONTACTS } from './settings.js';
import type { MembershipStep } from './state.js';

interface Contact {
  readonly endpoint: Endpoint;
  readonly member: Member | null;
  readonly isOwnZone: boolean;
}

/** Pings seeds, listed daemons and dead members that are not known to be present. */
export function contactOthers(step: MembershipStep): void {
  if (step.now < step.state.nextContactAt) {
    return;
  }
  const isAlone = probeGroup(step.state).length === 0;
  const interval = isAlone ? JOIN_CONTACT_INTERVAL_MS : CONTACT_INTERVAL_MS;
  step.change({ nextContactAt: step.now + interval / 2 + step.random.below(interval) });
  const contacts = step.random.shuffled(possibleContacts(step));
  contacts.sort((one, other) => Number(other.isOwnZone) - Number(one.isOwnZone));
  for (const contact of contacts.slice(0, isAlone ? JOIN_CONTACTS : 1)) {
    sendPing(step, contact.endpoint, contact.member);
  }
}

function possibleContacts(step: MembershipStep): readonly Contact[] {
  const { members, self, listed, seeds } = step.state;
  const contacts: Contact[] = [];
  const present = new Set<string>();
  for (const member of members.values()) {
    if (isPresent(member)) {
      present.add(endpointKey(member.endpoint));
    } else if (member.status === 'dead') {
      contacts.push({ endpoint: member.endpoint, member, isOwnZone: member.zone === self.zone });
    }
  }
  for (const machine of listed) {
    if (!members.has(machine.name) && !present.has(endpointKey(machine))) {
      const endpoint = { address: machine.address, port: machine.port };
      contacts.push({ endpoint, member: null, isOwnZone: machine.zone === self.zone });
    }
  }
  for (const endpoint of seeds) {
    if (!present.has(endpointKey(endpoint))) {
      contacts.push({ endpoint, member: null, isOwnZone: true });
    }
  }
  return contacts;
}

function endpointKey(endpoint: Endpoint): string {
  return `${endpoint.address} ${endpoint.port}`;
}
