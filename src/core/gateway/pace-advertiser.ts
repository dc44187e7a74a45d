/**
 * Selects the paces that a relay advertises to its zone: changed ones first, otherwise those advertised longest ago, so
 * that a later message makes up for a lost one. Paces that do not change cost almost no bytes.
 */
import type { PaceSums, ServicePaceSums } from './engine-paces.js';
import type { LineSums } from './line-samples.js';

/** A pace or line whose logarithm differs by no more than this from the advertised one leads to the same decisions. */
const SAME_LOG = 0.08;
/**
 * An unchanged entry is advertised again at this age; entries older than `REFRESH_WITH_OTHERS_MS` go in the same
 * message.
 */
const REFRESH_MS = 10_000;
const REFRESH_WITH_OTHERS_MS = 4_000;
/**
 * Growth of an entry's weight at which it is advertised again: receivers shrink a pace toward the usual one by its
 * weight.
 */
const MIN_GROWTH = 2;

interface AdvertisedPace {
  readonly logPace: number;
  readonly weight: number;
  readonly atMs: number;
}

interface AdvertisedLine {
  readonly line: LineSums;
  readonly atMs: number;
}

/** Remembers which paces a relay has advertised, and selects those that are due. */
export class PaceAdvertiser {
  readonly #advertised = new Map<string, AdvertisedPace>();
  readonly #lines = new Map<string, AdvertisedLine>();

  /** The entries that are due, with at most `maxEngines` engines; they count as advertised after `markAdvertised`. */
  next(
    known: readonly ServicePaceSums[],
    maxEngines: number,
    nowMs: number,
  ): readonly ServicePaceSums[] {
    let remaining = maxEngines;
    return known.flatMap(({ service, line, engines }) => {
      const due = this.#due(engines, nowMs).slice(0, remaining);
      remaining -= due.length;
      const isLineDue = line !== undefined && this.#isLineDue(service, line, nowMs);
      if (due.length === 0 && !isLineDue) return [];
      return [{ service, line, engines: due }];
    });
  }

  markAdvertised(sent: readonly ServicePaceSums[], nowMs: number): void {
    for (const { service, line, engines } of sent) {
      if (line !== undefined) this.#lines.set(service, { line, atMs: nowMs });
      for (const { engineId, logPace, weight } of engines) {
        this.#advertised.set(engineId, { logPace, weight, atMs: nowMs });
      }
    }
  }

  /** Forgets engines that are no longer known. */
  retain(known: readonly ServicePaceSums[]): void {
    const ids = new Set(known.flatMap(({ engines }) => engines.map(({ engineId }) => engineId)));
    for (const id of [...this.#advertised.keys()]) if (!ids.has(id)) this.#advertised.delete(id);
  }

  #due(engines: readonly PaceSums[], nowMs: number): readonly PaceSums[] {
    const changed = engines.filter((sums) => isChanged(sums, this.#advertised.get(sums.engineId)));
    if (changed.length > 0) return changed;
    const ageMs = ({ engineId }: PaceSums) => nowMs - (this.#advertised.get(engineId)?.atMs ?? 0);
    if (!engines.some((sums) => ageMs(sums) >= REFRESH_MS)) return [];
    return engines
      .filter((sums) => ageMs(sums) >= REFRESH_WITH_OTHERS_MS)
      .sort((left, right) => ageMs(right) - ageMs(left));
  }

  #isLineDue(service: string, line: LineSums, nowMs: number): boolean {
    const sent = this.#lines.get(service);
    if (sent === undefined || nowMs - sent.atMs >= REFRESH_MS) return true;
    const hasMoreEvidence = line.weight >= MIN_GROWTH * sent.line.weight;
    return hasMoreEvidence || Math.abs(Math.log(meanSpeed(line) / meanSpeed(sent.line))) > SAME_LOG;
  }
}

function isChanged({ logPace, weight }: PaceSums, sent: AdvertisedPace | undefined): boolean {
  if (sent === undefined) return true;
  return Math.abs(logPace - sent.logPace) > SAME_LOG || weight >= MIN_GROWTH * sent.weight;
}

function meanSpeed({ x, y }: LineSums): number {
  return x / y;
}
