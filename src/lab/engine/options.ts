/** The options of an emulated engine, with their defaults. */
import type { BootId } from '../../core/common/identifiers.js';
import type { EngineRole, LoadedModel } from '../../core/registry/backend.js';
import { ACCELERATORS, type AcceleratorName, type AcceleratorProfile } from './accelerators.js';

/** Options that have a default. All times are in milliseconds. */
export interface EngineTuning {
  /** Divides the durations of steps and KV transfers; other times are not scaled. */
  readonly speedFactor: number;
  /** Maximum number of requests in the running batch. */
  readonly maxBatch: number;
  /** Maximum number of waiting requests; further requests are refused with `engine-full`. */
  readonly maxQueue: number;
  /** Maximum number of tokens processed per step in roles `mixed` and `prefill`. */
  readonly prefillChunkTokens: number;
  /** The same in role `decode`; smaller, to bound the time between tokens. */
  readonly decodeRoleChunkTokens: number;
  /** KV capacity in tokens for running requests and handles; null: the accelerator's capacity. */
  readonly kvCapacityTokens: number | null;
  /** Capacity of the prefix cache in blocks. */
  readonly prefixCacheBlocks: number;
  readonly reportLagMs: number;
  /** Mean delay of a cache event; each is delayed by 0.5 to 1.5 times this value. */
  readonly cacheEventDelayMs: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly cacheEventLoss: number;
  readonly roleChangeMs: number;
  readonly loadMs: number;
  readonly kvHandleTtlMs: number;
  /** Maximum relative deviation of a step's duration; drawn from the seeded generator. */
  readonly stepJitter: number;
}

/** Options that differ between engines and have no default. */
export interface EngineIdentity {
  readonly name: string;
  readonly boot: BootId;
  readonly role: EngineRole;
  readonly models: readonly LoadedModel[];
  readonly accelerator: AcceleratorName;
  readonly seed: number;
}

/** Options of `EngineModel`. */
export type EngineModelOptions = EngineIdentity & Partial<EngineTuning>;

/** All options, with the accelerator's cost model. */
export type EngineSettings = EngineIdentity &
  EngineTuning & { readonly profile: AcceleratorProfile };

const PREFIX_CACHE_BLOCKS = 4_096;

/** Assumed values of the order that published serving engines use. */
const DEFAULT_TUNING: EngineTuning = {
  speedFactor: 1,
  maxBatch: 64,
  maxQueue: 256,
  prefillChunkTokens: 2_048,
  decodeRoleChunkTokens: 256,
  kvCapacityTokens: null,
  prefixCacheBlocks: PREFIX_CACHE_BLOCKS,
  reportLagMs: 300,
  cacheEventDelayMs: 500,
  cacheEventLoss: 0.02,
  roleChangeMs: 4_000,
  loadMs: 6_000,
  kvHandleTtlMs: 30_000,
  stepJitter: 0.05,
};

/** Fills in defaults. */
export function resolveSettings(options: EngineModelOptions): EngineSettings {
  return { ...DEFAULT_TUNING, ...options, profile: ACCELERATORS[options.accelerator] };
}
