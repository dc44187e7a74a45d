/**
 * Which daemon a request is forwarded to when this one is cut off from the servers of its service. The nearest daemons
 * come first, as traffic between zones is slower and costs more. A whole zone may be cut off together, so a request tries
 * only a few daemons of its own zone, and none there once several have turned out to be cut off too.
 */
import type { PeerDaemon } from './peer-roster.js';

/** How long a daemon is passed over that did not take a request. */
const UNSUITABLE_MS = 1_000;
/** Daemons of the own zone that one request tries before it goes to another zone. */
const MAX_TRIES_IN_ZONE = 2;
/** From this number of unsuitable daemons in the own zone on, its others are tried last. */
const MANY_UNSUITABLE = 3;

/** What a choice depends on. */
export interface ForwardingChoice {
  readonly service: string;
  readonly peers: readonly PeerDaemon[];
  /** Names of the daemons that this request has tried. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** A random number from 0 to below 1. */
  readonly entropy: number;
}

/** Chooses among the other daemons, and remembers those that did not take a request. */
export class ForwardingPeers {
  readonly #zone: string;
  /** By service and daemon: until when it is passed over. */
  readonly #unsuitableUntilMs = new Map<string, number>();

  constructor(zone: string) {
    this.#zone = zone;
  }

  /** Records that a daemon did not answer, or is cut off from the servers of the service itself. */
  recordUnsuitable(peer: string, service: string, nowMs: number): void {
    this.#unsuitableUntilMs.set(keyOf(peer, service), nowMs + UNSUITABLE_MS);
  }

  /** Records that a daemon took a request. */
  recordSuitable(peer: string, service: string): void {
    this.#unsuitableUntilMs.delete(keyOf(peer, service));
  }

  /** The daemon to try next; undefined if none is left. */
  choose(choice: ForwardingChoice): PeerDaemon | undefined {
    const { peers, tried, entropy } = choice;
    const listening = peers.filter(({ forwardPort }) => forwardPort !== undefined);
    const usable = listening.filter((peer) => !this.#isUnsuitable(peer, choice));
    const untried = usable.filter(({ name }) => !tried.has(name));
    const near = untried.filter(({ zone }) => zone === this.#zone);
    const far = untried.filter(({ zone }) => zone !== this.#zone);
    const isNearFirst = !this.#isZoneCutOff(listening, choice);
    const candidates = (isNearFirst ? [near, far] : [far, near]).find(({ length }) => length > 0);
    return candidates?.[Math.floor(entropy * candidates.length)];
  }

  #isZoneCutOff(listening: readonly PeerDaemon[], choice: ForwardingChoice): boolean {
    const inZone = listening.filter(({ zone }) => zone === this.#zone);
    const tried = inZone.filter(({ name }) => choice.tried.has(name));
    if (tried.length >= MAX_TRIES_IN_ZONE) return true;
    return inZone.filter((peer) => this.#isUnsuitable(peer, choice)).length >= MANY_UNSUITABLE;
  }

  #isUnsuitable({ name }: PeerDaemon, { service, nowMs }: ForwardingChoice): boolean {
    const untilMs = this.#unsuitableUntilMs.get(keyOf(name, service));
    return untilMs !== undefined && nowMs < untilMs;
  }
}

function keyOf(peer: string, service: string): string {
  return `${service} ${peer}`;
}
