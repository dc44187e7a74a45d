/** The input and the result of a routing decision. */
import type {
  AdapterName,
  BackendName,
  ModelName,
  VersionName,
  ZoneName,
} from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';
import type { StepContext } from '../common/transition.js';
import type { Fault } from '../errors/fault.js';
import type { RequestTarget } from '../requests/types.js';
import type { ExclusionReason } from './engine-entry.js';
import type { FleetIndex } from './fleet-index.js';
import type { OutlierTracker } from './outlier-tracker.js';
import type { OutstandingTable } from './outstanding-table.js';
import type { RoutingPolicy } from './policy.js';
import type { PrefixIndex } from './prefix-index.js';

/** The target of a request to a model or adapter. */
export type ModelTarget = Extract<RequestTarget, { kind: 'model' }>;

/** The input of the choice of an engine. */
export interface EngineChoiceInput {
  readonly index: FleetIndex;
  readonly target: ModelTarget;
  /** Backends that this request has failed on. Eligible again only when no other backend is. */
  readonly excluded: ReadonlySet<BackendName>;
  /** The zone of the daemon that makes the decision. */
  readonly zone: ZoneName;
  readonly outstanding: OutstandingTable;
  readonly outliers: OutlierTracker;
  readonly prefixes: PrefixIndex;
  readonly context: StepContext;
  readonly policy: RoutingPolicy;
  /** The version of a resumed request: only an engine that holds it may continue the stream. */
  readonly version: VersionName | null;
  /** If true, the decision lists every engine with its score or the reason for its exclusion. */
  readonly explain?: boolean;
}

/** The evaluation of one engine in a decision, for `explain request`. */
export interface CandidateScore {
  readonly engine: BackendName;
  readonly zone: ZoneName;
  /** Null when the engine is eligible. */
  readonly excluded: ExclusionReason | null;
  readonly expectedFinishMs: Milliseconds;
  readonly expectedActive: number;
  readonly ownInFlight: number;
  /** The age of the load figures in the engine's report. */
  readonly loadAgeMs: Milliseconds;
  /** Prompt tokens that are probably in the engine's KV cache. */
  readonly cachedTokens: number;
}

/** The result of a routing decision. */
export type RoutingDecision =
  | {
      readonly kind: 'chosen';
      readonly engine: BackendName;
      readonly address: string;
      readonly port: number;
      readonly version: VersionName;
      readonly expectedFinishMs: Milliseconds;
      readonly policy: string;
      /** Number of available engines that hold the target. */
      readonly candidateCount: number;
      /** Empty unless the input sets `explain`. */
      readonly candidates: readonly CandidateScore[];
    }
  /** No engine is eligible, and at least one is excluded only because it is full. */
  | {
      readonly kind: 'full';
      readonly candidateCount: number;
      readonly candidates: readonly CandidateScore[];
    }
  | {
      readonly kind: 'none';
      readonly fault: Fault;
      readonly candidates: readonly CandidateScore[];
    };

/** A model and an optional adapter. */
export interface ModelAndAdapter {
  readonly model: ModelName;
  readonly adapter: AdapterName | null;
}
