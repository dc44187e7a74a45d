/**
 * Servers that leave the fleet: they are draining, or their rows are gone. The store's acknowledgement of a departure is
 * the moment from which `drainMs` runs. A daemon does not see that moment; it knows a time before it, at which the store
 * did not show the departure yet.
 */
import type { StorePosition } from '../platform/store-position.js';
import {
  type DirectoryChange,
  isSameBoot,
  type ServerDirectory,
  type ServerRecord,
} from './server-directory.js';

/** Departures that are remembered, to explain late sends; beyond this number the earliest are forgotten. */
const MAX_REMEMBERED = 4_096;

/** A stream is resumed at a draining server within this share of its drain time; the rest is a margin for busy machines. */
const RESUME_SHARE_OF_DRAIN = 0.5;

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

/** Why a server must not be sent a request, by the list. */
export interface NotListed {
  readonly kind: 'draining' | 'gone';
  /** How long this daemon has known. */
  readonly toldAgoMs: number;
}

/** The departures that this daemon knows of, by server id. */
export class Departures {
  readonly #directory: Pick<ServerDirectory, 'get'>;
  readonly #resumeMs: number;
  readonly #byId = new Map<string, Departure>();

  /**
   * @param directory the list that the departures are of
   * @param drainMs how long servers accept work after the store has acknowledged their departure; 0 if not known
   */
  constructor(directory: Pick<ServerDirectory, 'get'>, drainMs: number) {
    this.#directory = directory;
    this.#resumeMs = drainMs * RESUME_SHARE_OF_DRAIN;
  }

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

  /**
   * Whether a server that was chosen earlier must not be sent a request, as it drains, is gone or has another boot.
   * @param continuesStream whether the request takes up a stream that has begun
   */
  refusalOf(server: ServerRecord, continuesStream: boolean, nowMs: number): NotListed | undefined {
    const listed = this.#directory.get(server.id);
    const isListed = listed !== undefined && isSameBoot(listed, server);
    if (isListed && listed.state === 'ready') return undefined;
    if (isListed && continuesStream && this.#mayResumeAt(server.id, nowMs)) return undefined;
    const toldAgoMs = nowMs - (this.of(server.id)?.learnedAtMs ?? nowMs);
    return { kind: isListed ? 'draining' : 'gone', toldAgoMs };
  }

  /** Listed servers that drain and may still be sent the rest of a stream that has begun. */
  resumable(nowMs: number): readonly ServerRecord[] {
    return [...this.#byId.keys()]
      .filter((id) => this.#mayResumeAt(id, nowMs))
      .flatMap((id) => this.#directory.get(id) ?? []);
  }

  #mayResumeAt(id: string, nowMs: number): boolean {
    const departure = this.of(id);
    if (departure?.state !== 'draining') return false;
    return nowMs - departure.changedAfterMs <= this.#resumeMs;
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
