/**
 * Engines that are changing their stage, as the daemon that orders them tells. The platform's list shows
 * a change only seconds after it began; until then the engine turns away what it is sent.
 *
 * A notice lapses unless it is told again, so an orderer that dies leaves no engine unused.
 */
import type { EngineStage, ServerRecord } from './server-directory.js';

/** A change that is not told again within this time is forgotten. */
const CHANGING_VALID_MS = 1_500;
/** The list has shown a change that is over by then. */
const CHANGED_VALID_MS = 15_000;

/** How far a change has come. */
export type StagePhase = 'changing' | 'changed';

/** What an orderer tells of an engine. */
export interface StageNotice {
  readonly engineId: string;
  /** The stage that it was ordered to take. */
  readonly stage: EngineStage;
  readonly phase: StagePhase;
}

interface HeldNotice extends StageNotice {
  readonly untilMs: number;
}

/** The notices that hold. */
export class StageNotices {
  readonly #held = new Map<string, HeldNotice>();

  apply(notice: StageNotice, nowMs: number): void {
    const validMs = notice.phase === 'changing' ? CHANGING_VALID_MS : CHANGED_VALID_MS;
    this.#held.set(notice.engineId, { ...notice, untilMs: nowMs + validMs });
  }

  forget(engineId: string): void {
    this.#held.delete(engineId);
  }

  /** Engines that take work now, in the stage that they have now. */
  usable(engines: readonly ServerRecord[], nowMs: number): ServerRecord[] {
    if (this.#held.size === 0) return [...engines];
    return engines.flatMap((engine) => {
      const notice = this.#noticeOf(engine, nowMs);
      if (notice === undefined) return [engine];
      return notice.phase === 'changing' ? [] : [{ ...engine, stage: notice.stage }];
    });
  }

  /** All engines, in the stage that they have or are about to have. */
  expected(engines: readonly ServerRecord[], nowMs: number): ServerRecord[] {
    return engines.map((engine) => {
      const notice = this.#noticeOf(engine, nowMs);
      return notice === undefined ? engine : { ...engine, stage: notice.stage };
    });
  }

  #noticeOf(engine: ServerRecord, nowMs: number): HeldNotice | undefined {
    const notice = this.#held.get(engine.id);
    if (notice === undefined || nowMs <= notice.untilMs) return notice;
    this.#held.delete(engine.id);
    return undefined;
  }
}
