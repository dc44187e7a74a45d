/**
 * Servers that leave the fleet: they are draining, or their rows are gone. The store's acknowledgement of a departure is
 * the moment from which `drainMs` runs. A daemon does not see that moment; it knows a time before it, at which the store
 * did not show the departure yet.
 */
import type { StorePosition } from '../platform/store-position.js';
import { type DirectoryChange, isSameBoot, type ServerRecord } from './server-directory.js';

/** Departures that are remembered, to explain late sends; beyond this number the earliest are forgotten. */
const MAX_REMEMBERED = 4_096;

export type DepartureState =
  | 'draining'
  | 'gone'
  /** Its row is gone, but the server is used until running servers have written their rows again. */
  | 'kept';

/** Where rows of the store came from. */
export type RowsSource = 'store' | 'relay';

/** Where rows came from, and when they changed. */
export interface RowsOrigin extends StorePosition {
  readonly source: RowsSource;
  /** None of the rows changed before this time. */
  readonly changedAfterMs: number;
}

/** What this daemon knows of the departure of a server. */
export interface Departure extends RowsOrigin {
  readonly server: ServerRecord;
  readonly state: DepartureState;
  readonly learnedAtMs: number;
}

/** The departures that this daemon knows of, by server id. */
export class Departures {
  readonly #byId = new Map<string, Departure>();

  /** Records a change of the list. @returns the departures that it shows */
  recordChange(change: DirectoryChange, origin: RowsOrigin, nowMs: number): readonly Departure[] {
    const { added, changed, removed, restarted } = change;
    for (const { id } of [...added, ...restarted]) this.#byId.delete(id);
    for (const { id, state } of changed) if (state === 'ready') this.#byId.delete(id);
    const draining = changed.filter(({ id, state }) => {
      return state === 'draining' && this.#byId.get(id)?.state !== 'draining';
    });
    return [
      ...draining.map((server) => this.#record(server, 'draining', origin, nowMs)),
      ...removed.map((server) => this.#record(server, 'gone', origin, nowMs)),
    ];
  }

  /** Records servers that are used although their rows are gone. */
  recordKept(servers: readonly ServerRecord[], origin: RowsOrigin, nowMs: number): void {
    for (const server of servers) this.#record(server, 'kept', origin, nowMs);
  }

  /** The departure of a server; undefined while its row says that it is ready. */
  of(id: string): Departure | undefined {
    return this.#byId.get(id);
  }

  /** The departures of listed servers that drain. */
  draining(): readonly Departure[] {
    return [...this.#byId.values()].filter(({ state }) => state === 'draining');
  }

  #record(
    server: ServerRecord,
    state: DepartureState,
    origin: RowsOrigin,
    learnedAtMs: number,
  ): Departure {
    const known = this.#byId.get(server.id);
    // The time that a server has left runs from the first row that shows its departure.
    const isKnown = known !== undefined && isSameBoot(known.server, server);
    const { changedAfterMs } = isKnown ? known : origin;
    const departure = { ...origin, changedAfterMs, server, state, learnedAtMs };
    this.#byId.delete(server.id);
    this.#byId.set(server.id, departure);
    const [earliest] = this.#byId.keys();
    if (this.#byId.size > MAX_REMEMBERED && earliest !== undefined) this.#byId.delete(earliest);
    return departure;
  }
}
