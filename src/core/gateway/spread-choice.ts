/**
 * Keeps daemons that decide by the same load reports from all choosing the same engine. All of them see the same
 * engine as the least loaded, while the work that they sent since those reports is not visible yet. So the unseen work
 * is estimated and added to the least loaded engines by water-filling, which brings them to one level. Among the
 * engines that are then nearly cheapest, one is drawn at random, weighted by its headroom below the level. Together
 * the daemons fill the engines evenly.
 */
import type { EngineStage } from './server-directory.js';

/** Cost differences up to this are ignored: load sums are no more precise, and callers do not notice them. */
const EQUAL_COST_MS = 8;
/** With fewer unseen prompts than this, the cheapest engine most likely still is the cheapest. */
const MIN_UNSEEN_PROMPTS = 0.5;

/** Work that other daemons have sent and that is not in their load reports yet. */
export type UnseenWork =
  | {
      /** Estimated from the request rate of the fleet. */
      readonly kind: 'by-rate';
      /** Time of prefill engines. */
      readonly prefillMs: number;
      readonly prompts: number;
      /** Prompts among them that decode engines read themselves. */
      readonly shortPrompts: number;
    }
  | {
      /** No daemon has reported yet: each is assumed to have sent as much as this one sends now. */
      readonly kind: 'by-daemons';
      readonly daemons: number;
    };

/** Parameters of a spread choice. */
export interface Spread {
  readonly unseen: UnseenWork;
  /** Uniform random number from 0 to 1, drawn for each choice. */
  readonly entropy: number;
}

/** An engine that can be drawn. */
export interface SpreadCandidate {
  /** Wait for new work at the engine, as every daemon computes it. */
  readonly loadMs: number;
  /** Total cost of choosing the engine, its load included. */
  readonly costMs: number;
  /** Deducted from the cost at the preferred engine of a shared part that it has not cached yet. */
  readonly preferenceBonusMs: number;
}

/** The work that a choice adds to an engine. */
export interface SpreadWork {
  readonly spread: Spread;
  readonly stage: EngineStage;
  /** Read time of the prompt. */
  readonly readMs: number;
  /** Read time of a typical short prompt at a decode engine. */
  readonly shortReadMs: number;
  /** Delay that a run adds for other runs at a decode engine. */
  readonly runMs: number;
}

/** The spread parameters if there is enough unseen work to change a choice; undefined otherwise. */
export function usefulSpread(spread: Spread | undefined): Spread | undefined {
  if (spread === undefined) return undefined;
  const { unseen } = spread;
  const prompts = unseen.kind === 'by-rate' ? unseen.prompts : unseen.daemons;
  return prompts >= MIN_UNSEEN_PROMPTS ? spread : undefined;
}

/** Draws one of the nearly cheapest candidates; undefined when there are none. */
export function drawSpread<T extends SpreadCandidate>(
  candidates: readonly T[],
  work: SpreadWork,
): T | undefined {
  const loadsMs = candidates.map(({ loadMs }) => loadMs);
  const levelMs = levelOf(loadsMs, unseenMs(work));
  const costsMs = candidates.map((candidate) => costAtLevel(candidate, levelMs));
  const bestMs = Math.min(...costsMs);
  const nearBest = candidates.filter((_, index) => (costsMs[index] ?? 0) <= bestMs + EQUAL_COST_MS);
  return drawByHeadroom(nearBest, levelMs, work.spread.entropy);
}

/**
 * Water-filling: the load of the least loaded engines after `workMs` is poured over them. Each round leaves out
 * the engines above the level.
 */
export function levelOf(loadsMs: readonly number[], workMs: number): number {
  let levelMs = Number.POSITIVE_INFINITY;
  for (;;) {
    let sumMs = workMs;
    let count = 0;
    for (const loadMs of loadsMs) {
      if (loadMs >= levelMs) continue;
      sumMs += loadMs;
      count += 1;
    }
    const nextMs = sumMs / Math.max(1, count);
    if (!(nextMs < levelMs)) return levelMs;
    levelMs = nextMs;
  }
}

/** Unseen work in time of the stage's engines. */
function unseenMs({ spread: { unseen }, stage, readMs, shortReadMs, runMs }: SpreadWork): number {
  switch (unseen.kind) {
    case 'by-rate':
      if (stage === 'prefill') return unseen.prefillMs;
      return unseen.shortPrompts * shortReadMs + unseen.prompts * runMs;
    case 'by-daemons':
      return unseen.daemons * (readMs + runMs);
  }
}

/** A preferred engine above the level gets no bonus: the daemons together have sent it enough already. */
function costAtLevel(
  { costMs, loadMs, preferenceBonusMs }: SpreadCandidate,
  levelMs: number,
): number {
  const lostBonusMs = loadMs > levelMs ? preferenceBonusMs : 0;
  return costMs + lostBonusMs + Math.max(0, levelMs - loadMs);
}

/** Draws a candidate with probability proportional to its headroom below the level; uniformly if none has any. */
function drawByHeadroom<T extends SpreadCandidate>(
  candidates: readonly T[],
  levelMs: number,
  entropy: number,
): T | undefined {
  const headroomOf = ({ loadMs }: T) => Math.max(0, levelMs - loadMs);
  const total = candidates.reduce((sum, candidate) => sum + headroomOf(candidate), 0);
  let remaining = entropy * total;
  for (const candidate of candidates) {
    remaining -= headroomOf(candidate);
    if (remaining < 0) return candidate;
  }
  const index = Math.min(candidates.length - 1, Math.floor(entropy * candidates.length));
  return candidates[index];
}
