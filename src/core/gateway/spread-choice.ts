/**
 * Spreads the work of daemons that decide by the same sums. All of them see the same engine wait least, and
 * what they have sent since the sums were taken shows nowhere yet. So that work is added to what is known,
 * as if it had been poured over the engines that wait least: those come out level, and one of the best is
 * drawn, the sooner the more it was below that level. Together the daemons fill the engines up evenly.
 */
import type { EngineStage } from './server-directory.js';

/** Costs that differ by less are as good as each other: what relays tell is no finer, and no caller sees it. */
const NEAR_MS = 8;
/** Work of fewer prompts than this is not worth a draw: the best engine is most likely still the best. */
const LEAST_UNSEEN_PROMPTS = 0.5;

/** What other daemons have sent since they told of their work. */
export type UnseenWork =
  | {
      /** By the rate at which the fleet is asked. */
      readonly kind: 'by-rate';
      /** Time of engines that only read. */
      readonly prefillMs: number;
      readonly prompts: number;
      /** Those that engines that generate read by themselves. */
      readonly shortPrompts: number;
    }
  | {
      /** Nobody has told anything yet: each of the others has sent about what this daemon sends now. */
      readonly kind: 'by-daemons';
      readonly daemons: number;
    };

/** What a choice is spread by. */
export interface Spread {
  readonly unseen: UnseenWork;
  /** 0 to 1, evenly; another with each choice. */
  readonly entropy: number;
}

/** An engine as a choice sees it. */
export interface SpreadCandidate {
  /** How long work waits there, as all daemons see it. */
  readonly loadMs: number;
  /** What speaks against the engine in all, its load among it. */
  readonly costMs: number;
  /** What is taken off the cost because all daemons send a part there that nobody keeps yet. */
  readonly preferenceBonusMs: number;
}

/** What a choice adds to an engine. */
export interface SpreadWork {
  readonly spread: Spread;
  readonly stage: EngineStage;
  /** Reading the prompt. */
  readonly readMs: number;
  /** Reading one of the short prompts that engines that generate read by themselves. */
  readonly shortReadMs: number;
  /** What a run costs others at an engine that generates. */
  readonly runMs: number;
}

/** The spread where enough is unseen to change a choice. */
export function usefulSpread(spread: Spread | undefined): Spread | undefined {
  if (spread === undefined) return undefined;
  const { unseen } = spread;
  const prompts = unseen.kind === 'by-rate' ? unseen.prompts : unseen.daemons;
  return prompts >= LEAST_UNSEEN_PROMPTS ? spread : undefined;
}

/** One of the best of some candidates; undefined when there is none. */
export function drawSpread<T extends SpreadCandidate>(
  candidates: readonly T[],
  work: SpreadWork,
): T | undefined {
  const loadsMs = candidates.map(({ loadMs }) => loadMs);
  const levelMs = levelOf(loadsMs, unseenMs(work));
  const costsMs = candidates.map((candidate) => costAtLevel(candidate, levelMs));
  const bestMs = Math.min(...costsMs);
  const near = candidates.filter((_, place) => (costsMs[place] ?? 0) <= bestMs + NEAR_MS);
  return drawByRoom(near, levelMs, work.spread.entropy);
}

/** The load to which work fills up the engines that have least; each round leaves out those that are above it. */
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

/** Time of a stage's engines that is not seen yet. */
function unseenMs({ spread: { unseen }, stage, readMs, shortReadMs, runMs }: SpreadWork): number {
  switch (unseen.kind) {
    case 'by-rate':
      if (stage === 'prefill') return unseen.prefillMs;
      return unseen.shortPrompts * shortReadMs + unseen.prompts * runMs;
    case 'by-daemons':
      return unseen.daemons * (readMs + runMs);
  }
}

/** A home that is above the level has no bonus: all daemons have sent enough there. */
function costAtLevel(
  { costMs, loadMs, preferenceBonusMs }: SpreadCandidate,
  levelMs: number,
): number {
  const lostBonusMs = loadMs > levelMs ? preferenceBonusMs : 0;
  return costMs + lostBonusMs + Math.max(0, levelMs - loadMs);
}

/** Draws by the room below the level; evenly where there is none. */
function drawByRoom<T extends SpreadCandidate>(
  candidates: readonly T[],
  levelMs: number,
  entropy: number,
): T | undefined {
  const roomOf = ({ loadMs }: T) => Math.max(0, levelMs - loadMs);
  const total = candidates.reduce((sum, candidate) => sum + roomOf(candidate), 0);
  let left = entropy * total;
  for (const candidate of candidates) {
    left -= roomOf(candidate);
    if (left < 0) return candidate;
  }
  const place = Math.min(candidates.length - 1, Math.floor(entropy * candidates.length));
  return candidates[place];
}
