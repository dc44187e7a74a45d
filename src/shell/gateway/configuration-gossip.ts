/**
 * Forwards configurations between daemons. The relay of a zone sends a configuration from the store to its zone and to
 * the relays of the other zones, which may be cut off from the store and forward it to their zones. A daemon applies a
 * configuration that is newer than its own.
 *
 * A daemon that learns that another one still has an older version in force sends it the newer one: the other daemon
 * may be cut off from the store, or the store may have been restored from an older copy.
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
 * The largest forwarded content, in bytes; each daemon reads larger content from the store itself. A datagram holds at
 * most 64 KiB, and one of this size needs so few packets that it is rarely lost.
 */
export const MAX_FORWARDED_BYTES = 16_384;

/** A daemon normally receives a change by itself within this time; also the shortest gap between sends to a daemon. */
const GRACE_MS = 1_000;

/** Dependencies and settings of a `ConfigurationGossip`. */
export interface ConfigurationGossipOptions {
  readonly zone: string;
  readonly roster: PeerRoster;
  readonly timers: TimerService;
  readonly isRelay: () => boolean;
  /** The configuration version that this daemon has in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** Applies a configuration if it is newer. @returns whether it was */
  readonly applyConfiguration: (change: ForwardedConfiguration) => boolean;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** A value with a version. */
export interface VersionedValue {
  readonly version: number;
}

interface NewestConfiguration extends VersionedValue {
  readonly change: ForwardedConfiguration;
  readonly sinceMs: number;
}

/** Forwards configurations on behalf of one daemon. */
export class ConfigurationGossip {
  readonly #options: ConfigurationGossipOptions;
  /** The newest configuration that fits a message. */
  #newest: NewestConfiguration | undefined;
  /** When each daemon that is behind was last sent the newest configuration. */
  readonly #lastSentMs = new Map<string, number>();

  constructor(options: ConfigurationGossipOptions) {
    this.#options = options;
  }

  /** Forwards a configuration that this daemon received from the store, if it fits a message. */
  forward({ era, after, revision, rows }: TableChanges<VersionedValue>): void {
    const { zone, roster, timers, isRelay, send } = this.#options;
    const newest = rows.at(-1);
    if (newest?.kind !== 'value') return;
    const { key, encoded } = newest;
    if (encoded === undefined || encoded.length > MAX_FORWARDED_BYTES) return;
    const change = { era, after, revision, key, encoded };
    this.#rememberNewest(change, newest.value.version);
    if (!isRelay()) return;
    const peers = [...roster.zonePeers(), ...roster.otherRelays(timers.nowMs())];
    send(peers, encodePeerMessage({ kind: 'configuration', zone, change }));
  }

  /** Applies a configuration from another daemon; the relay forwards a newer one from another zone to its own zone. */
  apply(message: Extract<PeerMessage, { kind: 'configuration' }>): void {
    const { zone, roster, isRelay, applyConfiguration, send } = this.#options;
    const isNewer = applyConfiguration(message.change);
    if (isNewer) this.#rememberNewest(message.change, this.#options.configurationVersion());
    if (!isNewer || !isRelay() || message.zone === zone) return;
    send(roster.zonePeers(), encodePeerMessage({ ...message, zone }));
  }

  /** Handles the version that a daemon reports to have in force; 0 if it has none or does not report one. */
  recordPeerVersion(daemon: string, version: number): void {
    const { zone, roster, timers, configurationVersion, send } = this.#options;
    const newest = this.#newest;
    if (newest === undefined || newest.version !== configurationVersion()) return;
    const nowMs = timers.nowMs();
    const lastMs = Math.max(newest.sinceMs, this.#lastSentMs.get(daemon) ?? 0);
    if (version === 0 || version >= newest.version || nowMs - lastMs < GRACE_MS) return;
    const peer = roster.allPeers().find(({ name }) => name === daemon);
    if (peer === undefined) return;
    this.#lastSentMs.set(daemon, nowMs);
    // The message names no revisions, so the watch of the receiver keeps its own.
    const change = { ...newest.change, after: 0, revision: 0 };
    send([peer], encodePeerMessage({ kind: 'configuration', zone, change }));
  }

  /** Remembers a configuration if it is the one in force; the store may hold an older one. */
  #rememberNewest(change: ForwardedConfiguration, version: number): void {
    const { timers, configurationVersion } = this.#options;
    if (version !== configurationVersion()) return;
    this.#newest = { change, version, sinceMs: timers.nowMs() };
    this.#lastSentMs.clear();
  }
}
