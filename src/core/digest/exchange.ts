/** Interests and digests between daemons. */
import type { BackendName, DaemonName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { endpointOf, isSingleProbeGroup } from '../membership/index.js';
import {
  datagram,
  type Echo,
  type EngineDigest,
  type EngineInterest,
  type PeerReceivedEvent,
} from '../peer/index.js';
import { condense, expand } from './condense.js';
import { earliestPollTime } from './grant.js';
import {
  DIGEST_INTERVAL_MS,
  INTEREST_INTERVAL_MS,
  INTEREST_LIFETIME_MS,
  LARGE_FLEET_DIGEST_INTERVAL_MS,
  LARGE_FLEET_INTEREST_INTERVAL_MS,
  MAX_DIGEST_REPORT_AGE_MS,
  MAX_ENGINES_PER_MESSAGE,
} from './settings.js';
import type { DigestStep, Interest } from './state.js';
import { applyReport } from './views.js';

/** Tells the watchers of this daemon's engines that it wants to hear of them. */
export function sendInterests(step: DigestStep): void {
  const byWatcher = new Map<DaemonName, EngineInterest[]>();
  for (const { machine, watcher } of step.state.views.values()) {
    const isUsed = step.state.used.has(machine.name);
    if (isUsed && watcher !== null && watcher !== step.state.self) {
      const revision = step.state.inventories.get(machine.name)?.revision ?? null;
      const interest = { engine: machine.name, revision };
      byWatcher.set(watcher, [...(byWatcher.get(watcher) ?? []), interest]);
    }
  }
  for (const [watcher, engines] of byWatcher) {
    const endpoint = endpointOf(step.membership, watcher);
    if (endpoint !== null) {
      step.effects.push(datagram(endpoint, { kind: 'engine-interest', engines }));
    }
  }
  const isSmall = isSingleProbeGroup(step.membership);
  const interval = isSmall ? INTEREST_INTERVAL_MS : LARGE_FLEET_INTEREST_INTERVAL_MS;
  step.change({ nextInterestAt: step.now + interval });
}

/** Sends each interested daemon what is known of the engines that it named. */
export function sendDigests(step: DigestStep): void {
  const isSmall = isSingleProbeGroup(step.membership);
  const interval = isSmall ? DIGEST_INTERVAL_MS : LARGE_FLEET_DIGEST_INTERVAL_MS;
  step.change({ nextDigestAt: step.now + interval });
  for (const [daemon, interest] of step.state.interests) {
    if (step.now >= interest.until) {
      const interests = new Map(step.state.interests);
      interests.delete(daemon);
      const lastMessages = new Map(step.state.lastMessages);
      lastMessages.delete(daemon);
      step.change({ interests, lastMessages: lastMessages });
    } else {
      sendDigestsTo(step, daemon, interest.engines);
    }
  }
}

/** Sends one daemon what is known of the named engines. */
function sendDigestsTo(step: DigestStep, daemon: DaemonName, engines: Interest['engines']): void {
  const endpoint = endpointOf(step.membership, daemon);
  const lastMessages = step.state.lastMessages.get(daemon);
  if (endpoint === null || lastMessages === undefined) {
    return;
  }
  const { incarnation, sentAt, receivedAt } = lastMessages;
  const echo = { incarnation, sentAt, ageMs: Math.floor(step.now - receivedAt) };
  const digests = [...engines]
    .map(([engine, revision]) => digestOf(step, engine, revision))
    .filter((digest) => digest !== null);
  for (let start = 0; start < digests.length; start += MAX_ENGINES_PER_MESSAGE) {
    const part = digests.slice(start, start + MAX_ENGINES_PER_MESSAGE);
    step.effects.push(datagram(endpoint, { kind: 'engine-digest', echo, engines: part }));
  }
}

/** Only what the engine itself told this daemon is passed on, never hearsay. */
function digestOf(
  step: DigestStep,
  engine: BackendName,
  theirRevision: number | null,
): EngineDigest | null {
  const own = step.state.directReports.get(engine);
  const isWatched = step.state.views.get(engine)?.watcher === step.state.self;
  if (own === undefined || !isWatched) {
    return null;
  }
  const ageMs = step.now - own.askedAt;
  return ageMs > MAX_DIGEST_REPORT_AGE_MS ? null : condense(own, ageMs, theirRevision);
}

/** Takes in a message of another daemon. */
export function receiveFromPeer(step: DigestStep, event: PeerReceivedEvent): void {
  const { header, message } = event;
  if (message.kind === 'engine-interest' || step.state.interests.has(header.sender)) {
    hear(step, event);
  }
  if (message.kind === 'engine-interest') {
    receiveInterest(step, header.sender, message.engines);
  }
  const ownLife = step.membership.self.incarnation;
  if (message.kind === 'engine-digest' && message.echo.incarnation === ownLife) {
    for (const digest of message.engines) {
      receiveDigest(step, message.echo, digest);
    }
  }
}

function receiveInterest(
  step: DigestStep,
  daemon: DaemonName,
  wanted: readonly EngineInterest[],
): void {
  const isNew = !step.state.interests.has(daemon);
  const until = step.now + INTEREST_LIFETIME_MS;
  const engines = new Map(wanted.map(({ engine, revision }) => [engine, revision]));
  const interests = new Map(step.state.interests).set(daemon, { engines, until });
  step.change({ interests });
  noteWanted(step, [...engines.keys()], until);
  if (isNew) {
    sendDigestsTo(step, daemon, engines);
  }
}

function receiveDigest(step: DigestStep, echo: Echo, digest: EngineDigest): void {
  const { engine, revision, inventory, ageMs } = digest;
  if (!step.state.views.has(engine)) {
    return;
  }
  const known = step.state.inventories.get(engine);
  if (inventory !== null && known?.revision !== revision) {
    const inventories = new Map(step.state.inventories).set(engine, { revision, inventory });
    step.change({ inventories });
  }
  const report = expand(digest, known);
  if (report !== null) {
    applyReport(step, report, earliestPollTime(echo, ageMs));
  }
}

function noteWanted(step: DigestStep, engines: readonly BackendName[], until: MonotonicMs): void {
  const wantedUntil = new Map(step.state.wantedUntil);
  for (const engine of engines) {
    if (step.state.engines.has(engine)) {
      wantedUntil.set(engine, until);
    }
  }
  step.change({ wantedUntil });
}

/** The echo is the latest message by its sender's clock, so that delayed ones don't replace it. */
function hear(step: DigestStep, { header }: PeerReceivedEvent): void {
  const known = step.state.lastMessages.get(header.sender);
  const isOldLife = known !== undefined && known.incarnation > header.incarnation;
  const isSameLife = known !== undefined && known.incarnation === header.incarnation;
  if (isOldLife || (isSameLife && known.sentAt >= header.sentAt)) {
    return;
  }
  const { incarnation, sentAt } = header;
  const message = { incarnation, sentAt, receivedAt: step.now };
  step.change({ lastMessages: new Map(step.state.lastMessages).set(header.sender, message) });
}
