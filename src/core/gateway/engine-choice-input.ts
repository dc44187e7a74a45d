/** Input to the engine choice for a model request: the candidates and this daemon's estimates of each. */
import type { RequestDescription } from './description.js';
import type { EngineLoad, Urgency } from './engine-load.js';
import type { PeerLoads } from './peer-load.js';
import type { PrefixCacheIndex } from './prefix-cache-index.js';
import type { ReadSpeed } from './read-speed.js';
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { Spread } from './spread-choice.js';

/** Input to `planModelRequest` and `chooseDecodeEngine`. */
export interface EngineChoiceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly description: RequestDescription;
  readonly zone: string;
  readonly nowMs: number;
  readonly prefixIndex: PrefixCacheIndex;
  readonly speed: ReadSpeed;
  /** An engine's pace relative to the fleet's typical one; omitted where all engines have the same pace. */
  paceOf?(id: string): number;
  /** An engine's pace rounded to a power of two: its weight as preferred engine of shared parts. */
  quantizedPaceOf?(id: string): number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Short prompts that a decode engine of typical pace receives per millisecond, from all daemons. */
  readonly shortReadsPerMs: number;
  healthOf(id: string): ServerHealth;
  readonly peerLoads: PeerLoads;
  /** Ratio of the observed waits of prompts of an urgency to the waits computed from known work. */
  waitFactor(urgency: Urgency): number;
  /** What is left of the latency budget of the request. */
  readonly latencyBudgetMs: number;
  loadOf(id: string): EngineLoad;
  /** Undefined where daemons report their work to each other directly, and where spreading is disabled. */
  readonly spread?: Spread | undefined;
}
