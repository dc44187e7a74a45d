/**
 * Departures of servers between daemons. The list of servers reaches a daemon over its zone's relay, which may stall just
 * as a row changes; a departure is urgent, so whoever reads it from the store tells all daemons at once. In a large fleet
 * only relays do: all other daemons would read it at the same time. While a zone's relay is out of contact, its daemons
 * read the list themselves, and each tells a few others of the zone, as some may be without a path to the store.
 */
import type {
  Departure,
  DepartureNotice,
  PeerDaemon,
  PeerRoster,
} from '../../core/gateway/index.js';
import type { AdvertisedDeparture, DeparturesMessage } from './departure-message-fields.js';
import { MAX_ENTRIES_PER_MESSAGE } from './peer-messages.js';
import type { TimerService } from './timer-service.js';

/** With most of a zone telling this many others each, hardly any daemon is told by nobody. */
const TOLD_WITHOUT_RELAY = 4;

/** Dependencies of a `DepartureGossip`. */
export interface DepartureGossipOptions {
  readonly roster: Pick<PeerRoster, 'allPeers' | 'zonePeers' | 'isLarge'>;
  readonly isRelay: () => boolean;
  /** Whether the zone's relay is in contact with the store, as far as this daemon knows. */
  readonly hasRelay: () => boolean;
  /** A random number from 0 to below 1. */
  readonly random: () => number;
  readonly send: (peers: readonly PeerDaemon[], message: DeparturesMessage) => void;
  /** Their clock is that of the departures. */
  readonly timers: Pick<TimerService, 'nowMs'>;
}

/** Tells other daemons of departures, and reads what they tell. */
export class DepartureGossip {
  readonly #options: DepartureGossipOptions;

  constructor(options: DepartureGossipOptions) {
    this.#options = options;
  }

  /** Tells other daemons of departures that this daemon has just read from the store in one answer. */
  advertise(departures: readonly Departure[]): void {
    const { send } = this.#options;
    const [first] = departures;
    const recipients = this.#recipients();
    if (first === undefined || recipients.length === 0) return;
    const { era, revision } = first;
    const advertised = departures.flatMap((departure) => this.#advertised(departure));
    for (let index = 0; index < advertised.length; index += MAX_ENTRIES_PER_MESSAGE) {
      const part = advertised.slice(index, index + MAX_ENTRIES_PER_MESSAGE);
      send(recipients, { kind: 'departures', era, revision, departures: part });
    }
  }

  #recipients(): readonly PeerDaemon[] {
    const { roster, isRelay, hasRelay } = this.#options;
    if (!roster.isLarge || isRelay()) return roster.allPeers();
    return hasRelay() ? [] : this.#someOf(roster.zonePeers());
  }

  #someOf(peers: readonly PeerDaemon[]): readonly PeerDaemon[] {
    const first = Math.floor(this.#options.random() * peers.length);
    return [...peers, ...peers].slice(first, first + Math.min(TOLD_WITHOUT_RELAY, peers.length));
  }

  /**
   * The notices in another daemon's message.
   * @param sentAfterMs it was sent after this moment; minus infinity if that is not known
   */
  noticesIn(
    { era, revision, departures }: DeparturesMessage,
    sentAfterMs: number,
  ): readonly DepartureNotice[] {
    return departures.map(({ server, state, changedWithinMs = Number.POSITIVE_INFINITY }) => {
      return { server, state, era, revision, changedAfterMs: sentAfterMs - changedWithinMs };
    });
  }

  #advertised({ server, state, changedAfterMs }: Departure): readonly AdvertisedDeparture[] {
    if (state !== 'draining' && state !== 'gone') return [];
    const ageMs = Math.ceil(this.#options.timers.nowMs() - changedAfterMs);
    return [{ server, state, changedWithinMs: Number.isFinite(ageMs) ? ageMs : undefined }];
  }
}
