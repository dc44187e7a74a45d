/** Records departures of servers, logs them with what limits their age, and has them told to other daemons. */
import type {
  Departure,
  DepartureNotice,
  Departures,
  DirectoryChange,
  RowsOrigin,
  ServerRecord,
} from '../../core/gateway/index.js';
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { StorePosition } from '../../core/platform/store-position.js';
import { ageField } from './age-field.js';
import type { GatewayLog } from './request-log.js';

/** Dependencies of a `DepartureTracker`. */
export interface DepartureTrackerOptions {
  readonly departures: Departures;
  /** Called when this daemon learns that a server departs. */
  readonly recordDeparture: (departure: Departure) => void;
  /** Called with departures that this daemon has just read from the store. */
  readonly advertiseDepartures: (departures: readonly Departure[]) => void;
  /** Called with a server that has to confirm that it accepts work. */
  readonly awaitConfirmation: (departure: Departure) => void;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The departures that one daemon learns of. */
export class DepartureTracker {
  readonly #options: DepartureTrackerOptions;

  constructor(options: DepartureTrackerOptions) {
    this.#options = options;
  }

  /** Records the departures in a change of the list. @returns those that were not known */
  recordChange(change: DirectoryChange, origin: RowsOrigin): readonly Departure[] {
    const { departures } = this.#options;
    const learned = departures.recordChange(change, origin);
    for (const departure of learned) this.#report(departure);
    return learned;
  }

  /**
   * Has departures that were read from the store told to other daemons. A drain is the server's own word. A row may also
   * go because its server could not renew it, and what a skipped row means depends on what this daemon knew before.
   * @param isSteady whether the store answered all calls of this daemon for a while, so that it was there for servers too
   */
  advertise(
    learned: readonly Departure[],
    { skipped }: Pick<DirectoryChange, 'skipped'>,
    isSteady: boolean,
  ): void {
    const skippedIds = new Set(skipped.map(({ record }) => record.id));
    const isCertain = ({ state, server }: Departure) =>
      state === 'draining' || (isSteady && !skippedIds.has(server.id));
    this.#options.advertiseDepartures(learned.filter(isCertain));
  }

  /**
   * Applies other daemons' notices.
   * @param followed how far the list here has been followed
   * @returns the departures that were not known
   */
  applyNotices(notices: readonly DepartureNotice[], followed: StorePosition): readonly Departure[] {
    const { departures } = this.#options;
    const learned = notices.flatMap((notice) => departures.applyNotice(notice, followed) ?? []);
    for (const departure of learned) this.#report(departure);
    return learned;
  }

  /** Records that a server that is listed as ready declines work. */
  recordDeclined(server: ServerRecord, origin: RowsOrigin): void {
    const { departures } = this.#options;
    const departure = departures.recordDeclined(server, origin);
    if (departure !== undefined) this.#report(departure);
  }

  /** The servers in use of which a notice says that they depart, although the list here is newer and shows them as ready. */
  contradictedBy(
    notices: readonly DepartureNotice[],
    followed: StorePosition,
  ): readonly ServerRecord[] {
    return notices.flatMap((notice) => {
      const server = this.#options.departures.contradictedServer(notice, followed);
      if (server === undefined) return [];
      this.#reportContradiction(notice, followed);
      return [server];
    });
  }

  #reportContradiction({ server, state, era, revision }: DepartureNotice, at: StorePosition): void {
    const known = { knownEra: at.era, knownRevision: at.revision };
    const fields = { server: server.id, state, era, revision, ...known };
    this.#options.log.write(DEPARTURE_EVENTS.noticeContradictsList, fields);
  }

  #report(departure: Departure): void {
    const { recordDeparture, awaitConfirmation, log } = this.#options;
    const { server, state, source, changedAfterMs, learnedAtMs, ...at } = departure;
    const fields = {
      server: server.id,
      service: server.service,
      state,
      source,
      changedWithinMs: ageField(learnedAtMs - changedAfterMs),
      era: at.era,
      revision: at.revision,
    };
    if (state === 'unconfirmed') {
      log.write(GATEWAY_EVENTS.serverUnconfirmed, fields);
      awaitConfirmation(departure);
      return;
    }
    recordDeparture(departure);
    log.write(GATEWAY_EVENTS.serverDeparts, fields);
  }
}
