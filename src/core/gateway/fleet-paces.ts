/**
 * The paces of the engines of all services, and their exchange with other daemons. While engines are not shown to be
 * heterogeneous, and where the settings disable paces, a service has a single line, which each daemon learns for
 * itself: paces that differ by chance among equal engines would only shift work back and forth between them.
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

/** Smallest change of a pace's logarithm that is logged. */
const MIN_LOGGED_CHANGE = Math.log(1.25);

/** When decisions take the engines' paces into account. */
export type PaceUse = 'never' | 'where-unlike' | 'always';

/** Settings and look-ups for `FleetPaces`. */
export interface FleetPacesOptions {
  readonly use: PaceUse;
  readonly speedOf: (service: string) => ReadSpeed;
  /** The service of a listed engine; undefined for an engine that is not listed. */
  readonly serviceOf: (engineId: string) => string | undefined;
}

/** A pace that has changed by enough to be logged. */
export interface PaceChange {
  readonly engineId: string;
  readonly pace: number;
  readonly before: number;
}

/** The paces of all engines. */
export class FleetPaces {
  readonly #options: FleetPacesOptions;
  readonly #byService = new Map<string, EnginePaces>();
  /** The paces as last written to the log. */
  readonly #logged = new Map<string, number>();

  constructor(options: FleetPacesOptions) {
    this.#options = options;
  }

  get isOn(): boolean {
    return this.#options.use !== 'never';
  }

  /** Whether the lines that decisions use are learnt jointly with other daemons from the start. */
  get sharesLine(): boolean {
    return this.#options.use === 'always';
  }

  /** Whether decisions currently use the paces of a service's engines. */
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

  /** An engine's pace relative to its service's usual one; an engine of pace 2 reads in half the time. */
  paceOf(engineId: string): number {
    const service = this.#options.serviceOf(engineId);
    return service === undefined ? 1 : this.pacesOf(service)(engineId);
  }

  /** Returns the look-up of paces for the engines of one service. */
  pacesOf(service: string): (engineId: string) => number {
    const paces = this.isUsedFor(service) ? this.#byService.get(service) : undefined;
    return paces === undefined ? () => 1 : (engineId) => paces.paceOf(engineId);
  }

  /** Returns the look-up of quantized paces, which weight a service's engines in the choice of preferred engines. */
  quantizedPacesOf(service: string): (engineId: string) => number {
    const paces = this.isUsedFor(service) ? this.#byService.get(service) : undefined;
    return paces === undefined ? () => 1 : (engineId) => paces.quantizedPaceOf(engineId);
  }

  /** Records that a prefill engine read `tokens` tokens; hardly any work was known to be queued before them. */
  learnPrefill(
    { id, service }: Pick<ServerRecord, 'id' | 'service'>,
    tokens: number,
    read: TimedRead,
    nowMs: number,
  ): void {
    if (this.isOn) this.#getOrCreate(service).learnPrefill(id, tokens, read, nowMs);
    if (this.isUsedFor(service)) this.#useLine(service);
    else this.#options.speedOf(service).learnPrefill(tokens, read.elapsedMs);
  }

  /**
   * Records that a decode engine read `tokens` tokens and began to generate.
   * @param wasFree whether no request was known to be queued before it
   */
  learnDecode(
    { id, service }: Pick<ServerRecord, 'id' | 'service'>,
    tokens: number,
    elapsedMs: number,
    wasFree: boolean,
    nowMs: number,
  ): void {
    if (this.isOn) this.#getOrCreate(service).learnDecode(id, tokens, elapsedMs, wasFree, nowMs);
    if (this.#hasOwnLine) {
      this.#options.speedOf(service).learnDecode(tokens, elapsedMs, this.pacesOf(service)(id));
    }
  }

  /**
   * Adds observations of other daemons.
   * @param isRelayed whether they are advertised further together with this daemon's own observations
   * @returns the number of entries that were ignored as implausible or because their engine is not listed
   */
  addObserved(received: readonly ServicePaceSums[], isRelayed: boolean, nowMs: number): number {
    return this.#applyUsable(received, (paces, usable) =>
      paces.addObserved(usable, isRelayed, nowMs),
    );
  }

  /**
   * Applies the estimates of another daemon.
   * @returns the number of ignored entries, as for `addObserved`
   */
  applyKnown(received: readonly ServicePaceSums[], nowMs: number): number {
    return this.#applyUsable(received, (paces, usable) => paces.applyKnown(usable, nowMs));
  }

  /** Observations that have not been advertised yet. */
  unadvertised(maxEngines: number): readonly ServicePaceSums[] {
    const all = [...this.#byService].map(([service, paces]) =>
      paces.unadvertised(service, maxEngines),
    );
    return all.filter((sums) => sums !== undefined);
  }

  /** Marks observations as advertised. */
  markAdvertised(received: readonly ServicePaceSums[]): void {
    for (const sums of received) this.#byService.get(sums.service)?.markAdvertised(sums);
  }

  /** All current estimates. */
  known(nowMs: number): readonly ServicePaceSums[] {
    return [...this.#byService].map(([service, paces]) => paces.known(service, nowMs));
  }

  /** Drops the observations of a server that was removed or has restarted. */
  forget({ id, service }: Pick<ServerRecord, 'id' | 'service'>): void {
    this.#byService.get(service)?.forget(id);
    this.#logged.delete(id);
  }

  /** Decays old samples. */
  refresh(nowMs: number): void {
    for (const paces of this.#byService.values()) paces.refresh(nowMs);
  }

  /** Returns up to `max` paces in use that have changed since this method last returned them. */
  takeChanges(max: number): readonly PaceChange[] {
    const changes: PaceChange[] = [];
    for (const { engineId, pace } of this.all()) {
      if (changes.length >= max) break;
      const before = this.#logged.get(engineId) ?? 1;
      if (Math.abs(Math.log(pace / before)) < MIN_LOGGED_CHANGE) continue;
      this.#logged.set(engineId, pace);
      changes.push({ engineId, pace, before });
    }
    return changes;
  }

  /** The `max` engines whose paces differ most from the usual one, with their paces. */
  largestDeviations(max: number): ReadonlyMap<string, number> {
    const deviating = [...this.all()].filter(({ pace }) => pace !== 1);
    const size = (pace: number) => Math.abs(Math.log(pace));
    deviating.sort((left, right) => size(right.pace) - size(left.pace));
    return new Map(deviating.slice(0, max).map(({ engineId, pace }) => [engineId, pace]));
  }

  /** Every engine with observations, of the services whose paces are in use. */
  *all(): Generator<Pick<PaceChange, 'engineId' | 'pace'>> {
    for (const [service, paces] of this.#byService) {
      if (this.isUsedFor(service)) yield* paces.all();
    }
  }

  #getOrCreate(service: string): EnginePaces {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const line = this.#hasOwnLine ? new ReadSpeed(true) : this.#options.speedOf(service);
    const created = new EnginePaces(line);
    this.#byService.set(service, created);
    return created;
  }

  /** Whether paces are learnt with a line separate from the one that decisions use, since paces may not be in use. */
  get #hasOwnLine(): boolean {
    return !this.sharesLine;
  }

  /** Makes decisions use the line that was learnt together with the paces. */
  #useLine(service: string): void {
    const line = this.#byService.get(service)?.line;
    if (this.#hasOwnLine && line !== undefined) this.#options.speedOf(service).replaceLine(line);
  }

  /** Applies plausible entries of listed engines; returns the number of the others. */
  #applyUsable(
    received: readonly ServicePaceSums[],
    apply: (paces: EnginePaces, usable: ServicePaceSums) => void,
  ): number {
    let ignored = 0;
    for (const { service, line, engines } of received) {
      const usable = engines.filter(
        (sums) => isUsablePace(sums) && this.#options.serviceOf(sums.engineId) === service,
      );
      const isLineUsable = line !== undefined && isUsableLine(line);
      ignored += engines.length - usable.length + (line === undefined || isLineUsable ? 0 : 1);
      const isKnown = usable.length > 0 || this.#byService.has(service);
      if (!this.isOn || !isKnown) continue;
      apply(this.#getOrCreate(service), {
        service,
        line: isLineUsable ? line : undefined,
        engines: usable,
      });
      if (this.isUsedFor(service)) this.#useLine(service);
    }
    return ignored;
  }
}
