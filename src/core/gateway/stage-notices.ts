/**
 * Engines that are switching their stage, as advertised by the daemon that ordered the switch. The platform's server
 * list shows a switch only seconds after it began; until then the engine rejects the requests that it is sent.
 *
 * A notice expires unless it is repeated, so that no engine stays unused when the ordering daemon dies.
 */
import { setNewest } from '../common/bounded-map.js';
import type { EngineStage, ServerRecord } from './server-directory.js';

/** A notice of a switch in progress expires unless it is repeated within this time. */
const CHANGING_VALID_MS = 1_500;
/** Lifetime of a notice of a finished switch: by then the server list shows the new stage. */
const CHANGED_VALID_MS = 15_000;
/** Several times those of the largest fleet; anything that sends a datagram can name an engine. */
const MAX_ENGINES = 8_192;

/** Progress of a switch. */
export type StagePhase = 'changing' | 'changed';

/** The advertised switch of an engine. */
export interface StageNotice {
  readonly engineId: string;
  /** The stage that the engine was ordered to switch to. */
  readonly stage: EngineStage;
  readonly phase: StagePhase;
}

interface ActiveNotice extends StageNotice {
  readonly untilMs: number;
}

/** The notices that have not expired. */
export class StageNotices {
  readonly #active = new Map<string, ActiveNotice>();

  apply(notice: StageNotice, nowMs: number): void {
    const validMs = notice.phase === 'changing' ? CHANGING_VALID_MS : CHANGED_VALID_MS;
    const active = { ...notice, untilMs: nowMs + validMs };
    setNewest(this.#active, notice.engineId, active, MAX_ENGINES);
  }

  forget(engineId: string): void {
    this.#active.delete(engineId);
  }

  /** Engines that accept work now, with their current stage. */
  usable(engines: readonly ServerRecord[], nowMs: number): ServerRecord[] {
    if (this.#active.size === 0) return [...engines];
    return engines.flatMap((engine) => {
      const notice = this.#noticeOf(engine, nowMs);
      if (notice === undefined) return [engine];
      return notice.phase === 'changing' ? [] : [{ ...engine, stage: notice.stage }];
    });
  }

  /** All engines, with the stage that they have or are switching to. */
  expected(engines: readonly ServerRecord[], nowMs: number): ServerRecord[] {
    return engines.map((engine) => {
      const notice = this.#noticeOf(engine, nowMs);
      return notice === undefined ? engine : { ...engine, stage: notice.stage };
    });
  }

  #noticeOf(engine: ServerRecord, nowMs: number): ActiveNotice | undefined {
    const notice = this.#active.get(engine.id);
    if (notice === undefined || nowMs <= notice.untilMs) return notice;
    this.#active.delete(engine.id);
    return undefined;
  }
}
