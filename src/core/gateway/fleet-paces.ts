/**
 * The paces of the engines of all services, and what other daemons tell of them. While engines are not shown to be
 * unlike, and where the settings want no paces, a service has one line, which each daemon learns for itself: paces that
 * chance shows of equal engines would only send their work to and fro.
 */
import {
  EnginePaces,
  isUsableLine,
  isUsablePace,
  type ServicePaceSums,
  type TimedRead,
} from './engine-paces.js';
import { ReadSpeed } from './read-speed.js';
import type { ServerRecord } from './server-directory.js';

/** A pace that has changed by less is not worth a line in the log. */
const NOTED_CHANGE = Math.log(1.25);

/** Whether an engine's pace counts in decisions. */
export type PaceUse = 'never' | 'where-unlike' | 'always';

/** What the paces are built from. */
export interface FleetPacesOptions {
  readonly use: PaceUse;
  readonly speedOf: (service: string) => ReadSpeed;
  /** The service of a listed engine; undefined for one that is not listed. */
  readonly serviceOf: (engineId: string) => string | undefined;
}

/** A belief that has changed. */
export interface PaceChange {
  readonly engineId: string;
  readonly pace: number;
  readonly before: number;
}

/** All engines' paces. */
export class FleetPaces {
  readonly #options: FleetPacesOptions;
  readonly #byService = new Map<string, EnginePaces>();
  /** Paces as they were last written to the log. */
  readonly #noted = new Map<string, number>();

  constructor(options: FleetPacesOptions) {
    this.#options = options;
  }

  get isOn(): boolean {
    return this.#options.use !== 'never';
  }

  /** Whether the lines that decisions go by are learnt with other daemons from the start. */
  get sharesLine(): boolean {
    return this.#options.use === 'always';
  }

  /** Whether the engines of a service are decided on by their paces now. */
  isUsedFor(service: string): boolean {
    switch (this.#options.use) {
      case 'never':
        return false;
      case 'where-unlike':
        return this.#byService.get(service)?.isHeterogeneous === true;
      case 'always':
        return true;
    }
  }

  /** An engine's pace against the usual one of its service: 2 reads in half the time. */
  paceOf(engineId: string): number {
    const service = this.#options.serviceOf(engineId);
    return service === undefined ? 1 : this.pacesOf(service)(engineId);
  }

  /** The same for the engines of one service. */
  pacesOf(service: string): (engineId: string) => number {
    const paces = this.isUsedFor(service) ? this.#byService.get(service) : undefined;
    return paces === undefined ? () => 1 : (engineId) => paces.paceOf(engineId);
  }

  /** The paces by which engines of a service count as homes of shared parts. */
  quantizedPacesOf(service: string): (engineId: string) => number {
    const paces = this.isUsedFor(service) ? this.#byService.get(service) : undefined;
    return paces === undefined ? () => 1 : (engineId) => paces.quantizedPaceOf(engineId);
  }

  /** A prefill engine read so many tokens, next to nobody known waiting before them. */
  learnPrefill(
    { id, service }: Pick<ServerRecord, 'id' | 'service'>,
    tokens: number,
    read: TimedRead,
    nowMs: number,
  ): void {
    if (this.isOn) this.#of(service).learnPrefill(id, tokens, read, nowMs);
    if (this.isUsedFor(service)) this.#useLine(service);
    else this.#options.speedOf(service).learnPrefill(tokens, read.elapsedMs);
  }

  /**
   * A decode engine read so many tokens and began to generate.
   * @param wasFree whether nobody was known to wait before them
   */
  learnDecode(
    { id, service }: Pick<ServerRecord, 'id' | 'service'>,
    tokens: number,
    elapsedMs: number,
    wasFree: boolean,
    nowMs: number,
  ): void {
    if (this.isOn) this.#of(service).learnDecode(id, tokens, elapsedMs, wasFree, nowMs);
    if (this.#hasOwnLine) {
      this.#options.speedOf(service).learnDecode(tokens, elapsedMs, this.pacesOf(service)(id));
    }
  }

  /**
   * Adds what other daemons have seen.
   * @param isRelayed whether it is told on with what this daemon sees itself
   * @returns how many items were no use
   */
  addObserved(told: readonly ServicePaceSums[], isRelayed: boolean, nowMs: number): number {
    return this.#takeUsable(told, (paces, usable) => paces.addObserved(usable, isRelayed, nowMs));
  }

  /** Takes what another daemon knows; gives how many items were no use. */
  applyKnown(told: readonly ServicePaceSums[], nowMs: number): number {
    return this.#takeUsable(told, (paces, usable) => paces.applyKnown(usable, nowMs));
  }

  /** What has not been told yet. */
  unadvertised(maxEngines: number): readonly ServicePaceSums[] {
    const all = [...this.#byService].map(([service, paces]) =>
      paces.unadvertised(service, maxEngines),
    );
    return all.filter((sums) => sums !== undefined);
  }

  /** What was untold has been told. */
  markAdvertised(told: readonly ServicePaceSums[]): void {
    for (const sums of told) this.#byService.get(sums.service)?.markAdvertised(sums);
  }

  /** All that is known. */
  known(nowMs: number): readonly ServicePaceSums[] {
    return [...this.#byService].map(([service, paces]) => paces.known(service, nowMs));
  }

  /** The server is gone, or another life of it began. */
  forget({ id, service }: Pick<ServerRecord, 'id' | 'service'>): void {
    this.#byService.get(service)?.forget(id);
    this.#noted.delete(id);
  }

  /** Lets what is old count for less. */
  refresh(nowMs: number): void {
    for (const paces of this.#byService.values()) paces.refresh(nowMs);
  }

  /** Some beliefs in use that have changed since they were last given here. */
  takeChanges(most: number): readonly PaceChange[] {
    const changes: PaceChange[] = [];
    for (const { engineId, pace } of this.all()) {
      if (changes.length >= most) break;
      const before = this.#noted.get(engineId) ?? 1;
      if (Math.abs(Math.log(pace / before)) < NOTED_CHANGE) continue;
      this.#noted.set(engineId, pace);
      changes.push({ engineId, pace, before });
    }
    return changes;
  }

  /** The engines whose pace differs most from the usual one, and by how much. */
  largestDeviations(most: number): ReadonlyMap<string, number> {
    const unlike = [...this.all()].filter(({ pace }) => pace !== 1);
    const size = (pace: number) => Math.abs(Math.log(pace));
    unlike.sort((left, right) => size(right.pace) - size(left.pace));
    return new Map(unlike.slice(0, most).map(({ engineId, pace }) => [engineId, pace]));
  }

  /** Every engine of which something was seen, of the services whose paces are in use. */
  *all(): Generator<Pick<PaceChange, 'engineId' | 'pace'>> {
    for (const [service, paces] of this.#byService) {
      if (this.isUsedFor(service)) yield* paces.all();
    }
  }

  #of(service: string): EnginePaces {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const line = this.#hasOwnLine ? new ReadSpeed(true) : this.#options.speedOf(service);
    const created = new EnginePaces(line);
    this.#byService.set(service, created);
    return created;
  }

  /** Whether paces are learnt by a line of their own, as they may not be in use. */
  get #hasOwnLine(): boolean {
    return !this.sharesLine;
  }

  /** Decisions go by the line that belongs to the paces. */
  #useLine(service: string): void {
    const line = this.#byService.get(service)?.line;
    if (this.#hasOwnLine && line !== undefined) this.#options.speedOf(service).replaceLine(line);
  }

  /** Passes on what can be true and is of listed engines; counts the rest. */
  #takeUsable(
    told: readonly ServicePaceSums[],
    take: (paces: EnginePaces, usable: ServicePaceSums) => void,
  ): number {
    let ignored = 0;
    for (const { service, line, engines } of told) {
      const usable = engines.filter(
        (sums) => isUsablePace(sums) && this.#options.serviceOf(sums.engineId) === service,
      );
      const isLineUsable = line !== undefined && isUsableLine(line);
      ignored += engines.length - usable.length + (line === undefined || isLineUsable ? 0 : 1);
      const isKnown = usable.length > 0 || this.#byService.has(service);
      if (!this.isOn || !isKnown) continue;
      take(this.#of(service), { service, line: isLineUsable ? line : undefined, engines: usable });
      if (this.isUsedFor(service)) this.#useLine(service);
    }
    return ignored;
  }
}
