/** Learning of versions from other daemons, pulling them, and answering pulls. */
import { CONFIGURATION_EVENTS } from '../logging/catalogue/configuration.js';
import { log } from '../logging/log-event.js';
import { endpointOf } from '../membership/index.js';
import { contentHash, datagram, type PeerReceivedEvent, stream } from '../peer/index.js';
import type { Endpoint } from '../registry/backend.js';
import {
  MAX_HOLDERS,
  MAX_ORIGINS,
  PULL_JITTER_MS,
  PULL_TIMEOUT_MS,
  PULL_WINDOW_MS,
  PULLS_PER_WINDOW,
} from './constants.js';
import { bringIntoForce, inForceVersion, recordKnownVersion } from './in-force.js';
import { parseDocument } from './row.js';
import type { ConfigurationStep } from './state.js';

/** Takes in what a message shows of its sender's version, then the message itself. */
export function receiveFromPeer(step: ConfigurationStep, event: PeerReceivedEvent): void {
  const { header, message } = event;
  recordKnownVersion(step, header.highestVersion);
  if (header.inForce !== null) {
    recordKnownVersion(step, header.inForce);
    noteHolder(step, header.sender, header.inForce);
  }
  switch (message.kind) {
    case 'configuration-announce':
      receiveAnnounce(step, message.version, message.origin);
      break;
    case 'configuration-pull':
      answerPull(step, message.above, message.replyTo);
      break;
    case 'configuration-content':
      receiveContent(step, message);
      break;
    case 'configuration-busy':
      step.updateState({
        pull: null,
        nextPullAt: step.now + 1 + step.random.below(PULL_JITTER_MS),
      });
      break;
  }
}

function noteHolder(step: ConfigurationStep, daemon: string, version: number): void {
  const { holders } = step.state;
  if (version <= inForceVersion(step) || holders.get(daemon) === version) {
    return;
  }
  if (holders.size === 0 && step.state.pull === null) {
    step.updateState({ nextPullAt: step.now + step.random.below(PULL_JITTER_MS) });
  }
  if (holders.size < MAX_HOLDERS || holders.has(daemon)) {
    step.updateState({ holders: new Map(holders).set(daemon, version) });
  }
}

function receiveAnnounce(step: ConfigurationStep, version: number, origin: Endpoint | null): void {
  if (version <= inForceVersion(step)) {
    if (origin !== null) {
      const own = inForceVersion(step);
      step.effects.push(datagram(origin, { kind: 'configuration-confirm', version: own }));
    }
    return;
  }
  if (origin !== null) {
    step.updateState({ origins: withOrigin(step.state.origins, origin) });
  }
  step.updateState({ nextPullAt: step.now });
  continuePulling(step);
}

function withOrigin(origins: readonly Endpoint[], origin: Endpoint): readonly Endpoint[] {
  const others = origins.filter(
    (known) => known.address !== origin.address || known.port !== origin.port,
  );
  return [origin, ...others].slice(0, MAX_ORIGINS);
}

/** Pulls from a random daemon that holds a higher version, one at a time. */
export function continuePulling(step: ConfigurationStep): void {
  const { pull } = step.state;
  if (pull !== null && step.now >= pull.until) {
    const holders = new Map(step.state.holders);
    holders.delete(pull.from);
    step.updateState({ pull: null, holders });
  }
  if (step.state.pull !== null || step.now < step.state.nextPullAt) {
    return;
  }
  const from = step.random.pick([...step.state.holders.keys()]);
  if (from !== undefined) {
    pullFrom(step, from);
  }
}

function pullFrom(step: ConfigurationStep, from: string): void {
  const endpoint = endpointOf(step.membership, from);
  if (endpoint === null) {
    const holders = new Map(step.state.holders);
    holders.delete(from);
    step.updateState({ holders });
    return;
  }
  const above = inForceVersion(step);
  const replyTo = step.state.self.endpoint;
  step.effects.push(datagram(endpoint, { kind: 'configuration-pull', above, replyTo }));
  step.updateState({ pull: { from, until: step.now + PULL_TIMEOUT_MS } });
}

function answerPull(step: ConfigurationStep, above: number, replyTo: Endpoint): void {
  const { inForce } = step.state;
  if (inForce === null || inForce.version <= above) {
    return;
  }
  if (!mayServe(step)) {
    const busy = { kind: 'configuration-busy', version: inForce.version } as const;
    step.effects.push(datagram(replyTo, busy));
    return;
  }
  const { version, document } = inForce;
  const hash = contentHash(JSON.stringify(document));
  step.effects.push(stream(replyTo, { kind: 'configuration-content', version, hash, document }));
}

/** Counts an answer against the window's limit. */
function mayServe(step: ConfigurationStep): boolean {
  const { since, count } = step.state.pullsServed;
  if (step.now - since >= PULL_WINDOW_MS) {
    step.updateState({ pullsServed: { since: step.now, count: 1 } });
    return true;
  }
  step.updateState({ pullsServed: { since, count: count + 1 } });
  return count < PULLS_PER_WINDOW;
}

function receiveContent(
  step: ConfigurationStep,
  content: { readonly version: number; readonly hash: string; readonly document: unknown },
): void {
  step.updateState({ pull: null });
  const parsed = parseDocument(content.document);
  if (parsed.isErr()) {
    const fields = { version: content.version, problem: parsed.error };
    step.effects.push(log(CONFIGURATION_EVENTS.unusable, fields));
    return;
  }
  if (contentHash(JSON.stringify(parsed.value)) !== content.hash) {
    const fields = { version: content.version, problem: 'the content does not match its hash' };
    step.effects.push(log(CONFIGURATION_EVENTS.unusable, fields));
    return;
  }
  bringIntoForce(step, { version: content.version, document: parsed.value }, 'peer');
}
