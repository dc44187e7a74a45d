/**
 * What a relay tells its zone of paces: what has changed first, then what it has not told for longest, so that
 * a message that was lost is made good. Paces that stay as they are cost next to nothing.
 */
import type { PaceSums, ServicePaceSums } from './engine-paces.js';
import type { LineSums } from './line-samples.js';

/** A pace, or a line, that differs by less from what was told decides nothing else. */
const SAME_LOG = 0.08;
/** What has not changed is told again after this time, and in the same message what would be soon. */
const REFRESH_MS = 10_000;
const REFRESH_WITH_OTHERS_MS = 4_000;
/** Evidence that has grown by so much is told, as others draw a pace to the usual one by it. */
const MORE_EVIDENCE = 2;

interface Told {
  readonly logPace: number;
  readonly weight: number;
  readonly atMs: number;
}

interface ToldLine {
  readonly line: LineSums;
  readonly atMs: number;
}

/** A relay's memory of what it has told. */
export class PaceAdvertiser {
  readonly #told = new Map<string, Told>();
  readonly #lines = new Map<string, ToldLine>();

  /** What is to be told now, at most so many engines; it counts as told when `markAdvertised` is called. */
  next(
    known: readonly ServicePaceSums[],
    maxEngines: number,
    nowMs: number,
  ): readonly ServicePaceSums[] {
    let room = maxEngines;
    return known.flatMap(({ service, line, engines }) => {
      const due = this.#due(engines, nowMs).slice(0, room);
      room -= due.length;
      const isLineDue = line !== undefined && this.#isLineDue(service, line, nowMs);
      if (due.length === 0 && !isLineDue) return [];
      return [{ service, line, engines: due }];
    });
  }

  markAdvertised(told: readonly ServicePaceSums[], nowMs: number): void {
    for (const { service, line, engines } of told) {
      if (line !== undefined) this.#lines.set(service, { line, atMs: nowMs });
      for (const { engineId, logPace, weight } of engines) {
        this.#told.set(engineId, { logPace, weight, atMs: nowMs });
      }
    }
  }

  /** Forgets engines that are not known any more. */
  retain(known: readonly ServicePaceSums[]): void {
    const ids = new Set(known.flatMap(({ engines }) => engines.map(({ engineId }) => engineId)));
    for (const id of [...this.#told.keys()]) if (!ids.has(id)) this.#told.delete(id);
  }

  #due(engines: readonly PaceSums[], nowMs: number): readonly PaceSums[] {
    const changed = engines.filter((sums) => isNews(sums, this.#told.get(sums.engineId)));
    if (changed.length > 0) return changed;
    const ageMs = ({ engineId }: PaceSums) => nowMs - (this.#told.get(engineId)?.atMs ?? 0);
    if (!engines.some((sums) => ageMs(sums) >= REFRESH_MS)) return [];
    return engines
      .filter((sums) => ageMs(sums) >= REFRESH_WITH_OTHERS_MS)
      .sort((left, right) => ageMs(right) - ageMs(left));
  }

  #isLineDue(service: string, line: LineSums, nowMs: number): boolean {
    const told = this.#lines.get(service);
    if (told === undefined || nowMs - told.atMs >= REFRESH_MS) return true;
    const hasMoreEvidence = line.weight >= MORE_EVIDENCE * told.line.weight;
    return hasMoreEvidence || Math.abs(Math.log(meanPace(line) / meanPace(told.line))) > SAME_LOG;
  }
}

function isNews({ logPace, weight }: PaceSums, told: Told | undefined): boolean {
  if (told === undefined) return true;
  return Math.abs(logPace - told.logPace) > SAME_LOG || weight >= MORE_EVIDENCE * told.weight;
}

function meanPace({ x, y }: LineSums): number {
  return x / y;
}
