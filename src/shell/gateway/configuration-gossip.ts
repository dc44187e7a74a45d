/**
 * Passes configurations on: the relay of a zone tells its zone of one that it had from the store, and the relays of the
 * other zones, which may be out of reach of the store; these tell their zones. A daemon takes what is newer than its own.
 *
 * Who hears that a daemon goes on with an older version tells it the own one: the store may be out of its reach, or have
 * come back from a copy that is older.
 */
import type { PeerDaemon, PeerRoster } from '../../core/gateway/index.js';
import {
  encodePeerMessage,
  type ForwardedConfiguration,
  type PeerMessage,
} from './peer-messages.js';
import type { TableChanges } from './table-watcher.js';
import type { TimerService } from './timer-service.js';

/**
 * What is larger is had from the store by each daemon; a datagram holds 64 KiB at most, and one that takes this many
 * packets hardly ever loses one.
 */
export const MAX_FORWARDED_BYTES = 16_384;

/** A daemon hears of a change by itself within this time, unless something is wrong. */
const BEHIND_MS = 1_000;

/** What a teller is built from. */
export interface ConfigurationGossipOptions {
  readonly zone: string;
  readonly roster: PeerRoster;
  readonly timers: TimerService;
  readonly isRelay: () => boolean;
  /** The version that this daemon has in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** Takes a configuration if it is newer; says whether it was. */
  readonly applyConfiguration: (change: ForwardedConfiguration) => boolean;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** What tells versions apart. */
export interface VersionedValue {
  readonly version: number;
}

interface NewestConfiguration extends VersionedValue {
  readonly change: ForwardedConfiguration;
  readonly sinceMs: number;
}

/** The daemon's part in passing configurations on. */
export class ConfigurationGossip {
  readonly #options: ConfigurationGossipOptions;
  /** The newest that fits a message. */
  #newest: NewestConfiguration | undefined;
  /** When daemons that are behind were told the newest. */
  readonly #toldMs = new Map<string, number>();

  constructor(options: ConfigurationGossipOptions) {
    this.#options = options;
  }

  /** One that this daemon had from the store, where it fits a message. */
  forward({ era, after, revision, rows }: TableChanges<VersionedValue>): void {
    const { zone, roster, timers, isRelay, send } = this.#options;
    const newest = rows.at(-1);
    if (newest?.kind !== 'value') return;
    const { key, encoded } = newest;
    if (encoded === undefined || encoded.length > MAX_FORWARDED_BYTES) return;
    const change = { era, after, revision, key, encoded };
    this.#noteNewest(change, newest.value.version);
    if (!isRelay()) return;
    const peers = [...roster.zonePeers(), ...roster.otherRelays(timers.nowMs())];
    send(peers, encodePeerMessage({ kind: 'configuration', zone, change }));
  }

  /** One from another daemon; from another zone's relay it is passed on to the own zone, once. */
  take(message: Extract<PeerMessage, { kind: 'configuration' }>): void {
    const { zone, roster, isRelay, applyConfiguration, send } = this.#options;
    const isNewer = applyConfiguration(message.change);
    if (isNewer) this.#noteNewest(message.change, this.#options.configurationVersion());
    if (!isNewer || !isRelay() || message.zone === zone) return;
    send(roster.zonePeers(), encodePeerMessage({ ...message, zone }));
  }

  /** A daemon says which version it has in force; 0 where it has none, or does not say. */
  recordPeerVersion(daemon: string, version: number): void {
    const { zone, roster, timers, configurationVersion, send } = this.#options;
    const newest = this.#newest;
    if (newest === undefined || newest.version !== configurationVersion()) return;
    const nowMs = timers.nowMs();
    const lastMs = Math.max(newest.sinceMs, this.#toldMs.get(daemon) ?? 0);
    if (version === 0 || version >= newest.version || nowMs - lastMs < BEHIND_MS) return;
    const peer = roster.allPeers().find(({ name }) => name === daemon);
    if (peer === undefined) return;
    this.#toldMs.set(daemon, nowMs);
    // How its own watch goes on is its own to find.
    const change = { ...newest.change, after: 0, revision: 0 };
    send([peer], encodePeerMessage({ kind: 'configuration', zone, change }));
  }

  /** What the store has may be older than what is in force. */
  #noteNewest(change: ForwardedConfiguration, version: number): void {
    const { timers, configurationVersion } = this.#options;
    if (version !== configurationVersion()) return;
    this.#newest = { change, version, sinceMs: timers.nowMs() };
    this.#toldMs.clear();
  }
}
