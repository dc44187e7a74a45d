/** What a model request's engines are chosen from: the candidates, and what is believed of each. */
import type { RequestDescription } from './description.js';
import type { EngineLoad, Urgency } from './engine-load.js';
import type { PeerLoads } from './peer-load.js';
import type { PrefixCacheIndex } from './prefix-cache-index.js';
import type { ReadSpeed } from './read-speed.js';
import type { ServerRecord } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { Spread } from './spread-choice.js';

/** What the plan is made from. */
export interface EngineChoiceInput {
  readonly candidates: readonly ServerRecord[];
  readonly excludedIds: ReadonlySet<string>;
  readonly description: RequestDescription;
  readonly zone: string;
  readonly nowMs: number;
  readonly prefixIndex: PrefixCacheIndex;
  readonly speed: ReadSpeed;
  /** An engine's pace against the usual one; left out where all have one pace. */
  paceOf?(id: string): number;
  /** The pace by which an engine counts as the home of a shared part. */
  quantizedPaceOf?(id: string): number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Short prompts that a decode engine of the usual pace gets in a millisecond, from all daemons. */
  readonly shortReadsPerMs: number;
  healthOf(id: string): ServerHealth;
  readonly peerLoads: PeerLoads;
  /** How long prompts of an urgency wait, against what the work that is known says. */
  waitFactor(urgency: Urgency): number;
  /** What is left of the time in which an answer is in time. */
  readonly latencyBudgetMs: number;
  loadOf(id: string): EngineLoad;
  /** Absent where daemons hear of each other's work at once, and where spreading is switched off. */
  readonly spread?: Spread | undefined;
}
