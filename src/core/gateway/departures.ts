/**
 * Servers that leave the fleet: they are draining, or their rows are gone. The store's acknowledgement of a departure is
 * the moment from which `drainMs` runs. A daemon does not see that moment; it knows a time before it, at which the store
 * did not show the departure yet.
 */
import { isAfter, type StorePosition } from '../platform/store-position.js';
import {
  type DirectoryChange,
  isSameBoot,
  type ServerBoot,
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
  | 'kept'
  /**
   * Its row shows it as ready, but it had departed or declines work. A write that the store carried out late looks the same
   * as a server that is back, so it is not used until it confirms that it accepts work.
   */
  | 'unconfirmed';

/** Where rows of the store came from. */
export type RowsSource = 'store' | 'relay';

/** Where a departure became known: from rows, or from another daemon's notice, which may be ahead of the list here. */
export type DepartureSource = RowsSource | 'notice';

/** Another daemon has read from the store that a server departs. */
export interface DepartureNotice extends StorePosition {
  readonly server: ServerBoot;
  readonly state: 'draining' | 'gone';
  /** The row did not change before this time, on the clock of the daemon that handles the notice. */
  readonly changedAfterMs: number;
}

/** Where rows came from, and when they changed. */
export interface RowsOrigin extends StorePosition {
  readonly source: RowsSource;
  /** None of the rows changed before this time. */
  readonly changedAfterMs: number;
}

/** What this daemon knows of the departure of a server. */
export interface Departure extends Omit<RowsOrigin, 'source'> {
  readonly source: DepartureSource;
  readonly server: ServerRecord;
  readonly state: DepartureState;
  readonly learnedAtMs: number;
}

/** A notice that the list has not caught up with after this time is ignored, as the server may have come back. */
const NOTICE_VALID_MS = 30_000;

/** Why a server must not be sent a request, by the list. */
export interface NotListed {
  readonly kind: 'draining' | 'gone' | 'unconfirmed';
  /** How long this daemon has known. */
  readonly toldAgoMs: number;
}

/** The departures that this daemon knows of, by server id. All their times, those of origins and notices too, are of one clock. */
export class Departures {
  readonly #directory: Pick<ServerDirectory, 'get'>;
  readonly #resumeMs: number;
  readonly #nowMs: () => number;
  readonly #byId = new Map<string, Departure>();

  /**
   * @param directory the list that the departures are of
   * @param drainMs how long servers accept work after the store has acknowledged their departure; 0 if not known
   * @param nowMs the clock by which the list is followed; it includes suspensions
   */
  constructor(directory: Pick<ServerDirectory, 'get'>, drainMs: number, nowMs: () => number) {
    this.#directory = directory;
    this.#resumeMs = drainMs * RESUME_SHARE_OF_DRAIN;
    this.#nowMs = nowMs;
  }

  /**
   * Records a change of the list.
   * @returns the departures in it that were not known, and the departed servers that it lists as ready again
   */
  recordChange(change: DirectoryChange, origin: RowsOrigin): readonly Departure[] {
    const { added, changed, removed, restarted } = change;
    for (const { id } of restarted) this.#byId.delete(id);
    for (const server of added) this.#forgetOtherBoot(server);
    const returned = this.#returnedIn([...added, ...changed], origin);
    const isDeparted = ({ id }: ServerRecord) => this.#byId.has(id);
    const draining = [...changed, ...added.filter(isDeparted)].filter(({ id, state }) => {
      return state === 'draining' && this.#byId.get(id)?.state !== 'draining';
    });
    const gone = removed.filter(({ id }) => this.#byId.get(id)?.state !== 'gone');
    return [
      ...returned.map((server) => this.#record(server, 'unconfirmed', origin)),
      ...draining.map((server) => this.#record(server, 'draining', origin)),
      ...gone.map((server) => this.#record(server, 'gone', origin)),
    ];
  }

  /**
   * Applies another daemon's notice. It counts until the list here has been followed to its position, and for the boot
   * that it names only, so it cannot hide a server that came back.
   * @param followed how far the list here has been followed
   * @returns the departure, unless it was known
   */
  applyNotice(
    { server, state, ...notice }: DepartureNotice,
    followed: StorePosition,
  ): Departure | undefined {
    const listed = this.#directory.get(server.id);
    if (listed === undefined || !isSameBoot(listed, server)) return undefined;
    const known = this.of(server.id);
    const isKept = known?.state === 'kept' && state === 'gone';
    if (!isKept && !isAfter(notice, followed)) return undefined;
    if (known?.state === state || known?.state === 'gone') return undefined;
    return this.#record(listed, state, { ...notice, source: 'notice' });
  }

  /** The server of whose departure a notice tells, if the list was followed beyond the notice and shows it as ready. */
  contradictedServer(
    { server, ...notice }: DepartureNotice,
    followed: StorePosition,
  ): ServerRecord | undefined {
    const listed = this.#directory.get(server.id);
    const isInUse = listed?.state === 'ready' && isSameBoot(listed, server);
    const isContradicted = this.of(server.id) === undefined && !isAfter(notice, followed);
    return isInUse && isContradicted ? listed : undefined;
  }

  /** Whether a server that is listed as ready is not used: a notice says that it departs, or it has to confirm its return. */
  isWithheld(id: string): boolean {
    const departure = this.#byId.get(id);
    if (departure?.state === 'unconfirmed') return true;
    return (
      departure?.source === 'notice' && this.#nowMs() - departure.learnedAtMs < NOTICE_VALID_MS
    );
  }

  /** Records that a server that is listed as ready declines work. @returns undefined unless it was in use until now */
  recordDeclined(server: ServerRecord, origin: RowsOrigin): Departure | undefined {
    const listed = this.#directory.get(server.id);
    const isInUse = listed?.state === 'ready' && isSameBoot(listed, server);
    if (!isInUse || this.#byId.has(server.id)) return undefined;
    return this.#record(listed, 'unconfirmed', origin);
  }

  /** Ends the departure of a server that accepts work. @returns whether it was withheld until now */
  confirm(server: ServerBoot): boolean {
    const departure = this.#byId.get(server.id);
    if (departure?.state !== 'unconfirmed' || !isSameBoot(departure.server, server)) return false;
    return this.#byId.delete(server.id);
  }

  /** Records servers that are used although their rows are gone. */
  recordKept(servers: readonly ServerRecord[], origin: RowsOrigin): void {
    for (const server of servers) this.#record(server, 'kept', origin);
  }

  /** Records that a server that was used without a row has written it again. */
  recordRewritten(id: string): void {
    if (this.of(id)?.state === 'kept') this.#byId.delete(id);
  }

  /** The departure of a server; undefined while its row says that it is ready. */
  of(id: string): Departure | undefined {
    return this.#byId.get(id);
  }

  /**
   * Whether a server that was chosen earlier must not be sent a request, as it drains, is gone or has another boot.
   * @param continuesStream whether the request takes up a stream that has begun
   */
  refusalOf(server: ServerRecord, continuesStream: boolean): NotListed | undefined {
    const listed = this.#directory.get(server.id);
    const isListed = listed !== undefined && isSameBoot(listed, server);
    const isWithheld = this.isWithheld(server.id);
    if (isListed && listed.state === 'ready' && !isWithheld) return undefined;
    if (isListed && continuesStream && this.#mayResumeAt(server.id)) return undefined;
    const known = this.of(server.id);
    const toldAgoMs = known === undefined ? 0 : this.#nowMs() - known.learnedAtMs;
    if (!isListed || known?.state === 'gone') return { kind: 'gone', toldAgoMs };
    return { kind: known?.state === 'unconfirmed' ? 'unconfirmed' : 'draining', toldAgoMs };
  }

  /** Listed servers that drain and may still be sent the rest of a stream that has begun. */
  resumable(): readonly ServerRecord[] {
    return [...this.#byId.keys()]
      .filter((id) => this.#mayResumeAt(id))
      .flatMap((id) => this.#directory.get(id) ?? []);
  }

  /** Another boot under the id of a server that has departed is another server. */
  #forgetOtherBoot(server: ServerRecord): void {
    const departure = this.#byId.get(server.id);
    if (departure !== undefined && !isSameBoot(departure.server, server)) {
      this.#byId.delete(server.id);
    }
  }

  /** The departed servers that the list shows as ready: in the rows read, or as it has caught up with a notice. */
  #returnedIn(read: readonly ServerRecord[], origin: StorePosition): readonly ServerRecord[] {
    const noticed = [...this.#byId]
      .filter(([, { source }]) => source === 'notice')
      .flatMap(([id]) => this.#directory.get(id) ?? []);
    const byId = new Map([...read, ...noticed].map((server) => [server.id, server]));
    return [...byId.values()].filter(({ id, state }) => {
      const departure = this.#byId.get(id);
      const isReturn = departure !== undefined && departure.state !== 'unconfirmed';
      return isReturn && state === 'ready' && !this.#isAhead(id, origin);
    });
  }

  /** Whether a departure is known from a notice that the list has not caught up with. */
  #isAhead(id: string, followed: StorePosition): boolean {
    const departure = this.#byId.get(id);
    return departure?.source === 'notice' && isAfter(departure, followed);
  }

  #mayResumeAt(id: string): boolean {
    const departure = this.of(id);
    if (departure?.state !== 'draining') return false;
    return this.#nowMs() - departure.changedAfterMs <= this.#resumeMs;
  }

  #record(
    server: ServerRecord,
    state: DepartureState,
    origin: Omit<Departure, 'server' | 'state' | 'learnedAtMs'>,
  ): Departure {
    const known = this.#byId.get(server.id);
    // The time that a server has left runs from the first row that shows its departure.
    const isKnown = known !== undefined && isSameBoot(known.server, server);
    const { changedAfterMs } = isKnown ? known : origin;
    const departure = { ...origin, changedAfterMs, server, state, learnedAtMs: this.#nowMs() };
    this.#byId.delete(server.id);
    this.#byId.set(server.id, departure);
    const [earliest] = this.#byId.keys();
    if (this.#byId.size > MAX_REMEMBERED && earliest !== undefined) this.#byId.delete(earliest);
    return departure;
  }
}
