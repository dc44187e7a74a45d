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
  | 'kept';

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

  /** Records a change of the list. @returns the departures in it that were not known */
  recordChange(change: DirectoryChange, origin: RowsOrigin, nowMs: number): readonly Departure[] {
    const { added, changed, removed, restarted } = change;
    for (const { id } of [...added, ...restarted]) this.#byId.delete(id);
    const isReady = changed.filter(({ state }) => state === 'ready');
    for (const { id } of isReady) if (!this.#isAhead(id, origin)) this.#byId.delete(id);
    this.#dropOvertaken(origin);
    const draining = changed.filter(({ id, state }) => {
      return state === 'draining' && this.#byId.get(id)?.state !== 'draining';
    });
    const gone = removed.filter(({ id }) => this.#byId.get(id)?.state !== 'gone');
    return [
      ...draining.map((server) => this.#record(server, 'draining', origin, nowMs)),
      ...gone.map((server) => this.#record(server, 'gone', origin, nowMs)),
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
    nowMs: number,
  ): Departure | undefined {
    const listed = this.#directory.get(server.id);
    if (listed === undefined || !isSameBoot(listed, server)) return undefined;
    const known = this.of(server.id);
    const isKept = known?.state === 'kept' && state === 'gone';
    if (!isKept && !isAfter(notice, followed)) return undefined;
    if (known?.state === state || known?.state === 'gone') return undefined;
    return this.#record(listed, state, { ...notice, source: 'notice' }, nowMs);
  }

  /** Whether a notice that is ahead of the list says that a listed server departs. */
  isNoticed(id: string, nowMs: number): boolean {
    const departure = this.#byId.get(id);
    if (departure?.source !== 'notice') return false;
    return nowMs - departure.learnedAtMs < NOTICE_VALID_MS;
  }

  /** Records servers that are used although their rows are gone. */
  recordKept(servers: readonly ServerRecord[], origin: RowsOrigin, nowMs: number): void {
    for (const server of servers) this.#record(server, 'kept', origin, nowMs);
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
  refusalOf(server: ServerRecord, continuesStream: boolean, nowMs: number): NotListed | undefined {
    const listed = this.#directory.get(server.id);
    const isListed = listed !== undefined && isSameBoot(listed, server);
    const isNoticed = this.isNoticed(server.id, nowMs);
    if (isListed && listed.state === 'ready' && !isNoticed) return undefined;
    if (isListed && continuesStream && this.#mayResumeAt(server.id, nowMs)) return undefined;
    const known = this.of(server.id);
    const toldAgoMs = nowMs - (known?.learnedAtMs ?? nowMs);
    return { kind: isListed && known?.state !== 'gone' ? 'draining' : 'gone', toldAgoMs };
  }

  /** Listed servers that drain and may still be sent the rest of a stream that has begun. */
  resumable(nowMs: number): readonly ServerRecord[] {
    return [...this.#byId.keys()]
      .filter((id) => this.#mayResumeAt(id, nowMs))
      .flatMap((id) => this.#directory.get(id) ?? []);
  }

  /** Forgets the notices that the list has caught up with and does not confirm. */
  #dropOvertaken(followed: StorePosition): void {
    for (const [id, { source }] of this.#byId) {
      if (source !== 'notice' || this.#isAhead(id, followed)) continue;
      if (this.#directory.get(id)?.state === 'ready') this.#byId.delete(id);
    }
  }

  /** Whether a departure is known from a notice that the list has not caught up with. */
  #isAhead(id: string, followed: StorePosition): boolean {
    const departure = this.#byId.get(id);
    return departure?.source === 'notice' && isAfter(departure, followed);
  }

  #mayResumeAt(id: string, nowMs: number): boolean {
    const departure = this.of(id);
    if (departure?.state !== 'draining') return false;
    return nowMs - departure.changedAfterMs <= this.#resumeMs;
  }

  #record(
    server: ServerRecord,
    state: DepartureState,
    origin: Omit<Departure, 'server' | 'state' | 'learnedAtMs'>,
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
