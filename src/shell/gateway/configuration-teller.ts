/**
 * Passes configurations on: the relay of a zone tells its zone of one that it had from the store, and the relays of the
 * other zones, which may be out of reach of the store; these tell their zones. A daemon takes what is newer than its own.
 */
import type { PeerDaemon, PeerRoster } from '../../core/gateway/index.js';
import { encodePeerMessage, type PassedConfiguration, type PeerMessage } from './peer-messages.js';
import type { TableChanges } from './table-watcher.js';
import type { TimerService } from './timer-service.js';

/**
 * What is larger is had from the store by each daemon; a datagram holds 64 KiB at most, and one that takes this many
 * packets hardly ever loses one.
 */
export const MOST_PASSED_BYTES = 16_384;

/** What a teller is built from. */
export interface ConfigurationTellerOptions {
  readonly zone: string;
  readonly roster: PeerRoster;
  readonly timers: TimerService;
  readonly isRelay: () => boolean;
  /** Takes a configuration if it is newer; says whether it was. */
  readonly takeConfiguration: (change: PassedConfiguration) => boolean;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** The daemon's part in passing configurations on. */
export class ConfigurationTeller {
  readonly #options: ConfigurationTellerOptions;

  constructor(options: ConfigurationTellerOptions) {
    this.#options = options;
  }

  /** One that this daemon had from the store, where it fits a message. */
  passOn({ era, after, revision, rows }: TableChanges<unknown>): void {
    const { zone, roster, timers, isRelay, send } = this.#options;
    const newest = rows.at(-1);
    if (!isRelay() || newest?.kind !== 'value') return;
    const { key, encoded } = newest;
    if (encoded === undefined || encoded.length > MOST_PASSED_BYTES) return;
    const change = { era, after, revision, key, encoded };
    const peers = [...roster.zonePeers(), ...roster.otherRelays(timers.nowMs())];
    send(peers, encodePeerMessage({ kind: 'configuration', zone, change }));
  }

  /** One from another daemon; from another zone's relay it is passed on to the own zone, once. */
  take(message: Extract<PeerMessage, { kind: 'configuration' }>): void {
    const { zone, roster, isRelay, takeConfiguration, send } = this.#options;
    const isNewer = takeConfiguration(message.change);
    if (!isNewer || !isRelay() || message.zone === zone) return;
    send(roster.zonePeers(), encodePeerMessage({ ...message, zone }));
  }
}
