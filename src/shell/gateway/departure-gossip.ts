/**
 * Departures of servers between daemons. The list of servers reaches a daemon over its zone's relay, which may stall just
 * as a row changes; a departure is urgent, so whoever reads it from the store tells all daemons at once. In a large fleet
 * only relays do: all other daemons would read it at the same time.
 */
import {
  type Departure,
  type DepartureNotice,
  type PeerDaemon,
  type PeerRoster,
  TRANSIT_MS,
} from '../../core/gateway/index.js';
import type { AdvertisedDeparture, DeparturesMessage } from './departure-message-fields.js';
import { MAX_ENTRIES_PER_MESSAGE } from './peer-messages.js';
import type { TimerService } from './timer-service.js';

/** Dependencies of a `DepartureGossip`. */
export interface DepartureGossipOptions {
  readonly roster: Pick<PeerRoster, 'allPeers' | 'isLarge'>;
  readonly isRelay: () => boolean;
  readonly send: (peers: readonly PeerDaemon[], message: DeparturesMessage) => void;
  readonly timers: TimerService;
}

/** Tells other daemons of departures, and reads what they tell. */
export class DepartureGossip {
  readonly #options: DepartureGossipOptions;

  constructor(options: DepartureGossipOptions) {
    this.#options = options;
  }

  /** Tells all daemons of departures that this daemon has just read from the store in one answer. */
  advertise(departures: readonly Departure[]): void {
    const { roster, isRelay, send } = this.#options;
    const [first] = departures;
    if (first === undefined || (roster.isLarge && !isRelay())) return;
    const { era, revision } = first;
    const advertised = departures.flatMap((departure) => this.#advertised(departure));
    for (let index = 0; index < advertised.length; index += MAX_ENTRIES_PER_MESSAGE) {
      const part = advertised.slice(index, index + MAX_ENTRIES_PER_MESSAGE);
      send(roster.allPeers(), { kind: 'departures', era, revision, departures: part });
    }
  }

  /** The notices in another daemon's message. */
  noticesIn({ era, revision, departures }: DeparturesMessage): readonly DepartureNotice[] {
    const sentAfterMs = this.#options.timers.nowMs() - TRANSIT_MS;
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
