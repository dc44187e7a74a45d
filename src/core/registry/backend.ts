/**
 * The members of the fleet, as stated by the platform's machine list and the engines' reports.
 */
import type {
  AdapterName,
  BackendName,
  BootId,
  DaemonName,
  ModelName,
  OrderId,
  PoolName,
  VersionName,
  ZoneName,
} from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';

/** The inference phase that an engine serves. `mixed` serves both phases in one batch. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** Whether the engine's controller allows new requests to it. Engines include it in reports. */
export type Intake = 'open' | 'closed';

/** The state of a machine in the platform's list, which may be outdated. */
export type MachineState = 'live' | 'leaving';

/** An IP address and port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** One row of the machine list: a model engine, a plain web backend, or a daemon. */
export type Machine = EngineMachine | WebMachine | DaemonMachine;

interface MachineBase extends Endpoint {
  readonly name: string;
  readonly zone: ZoneName;
  readonly state: MachineState;
}

/** A machine that runs a model engine. */
export interface EngineMachine extends MachineBase {
  readonly kind: 'engine';
  /** Accelerator generation, for example `new` or `old`; a hint for expected speed. */
  readonly accelerator: string;
  /**
   * The pool whose controller sends this engine its orders; `DEFAULT_POOL` where absent. The
   * platform assigns the pool, constant for the engine's lifetime, so that one engine is never
   * covered by two leases, whose epochs could not be compared.
   */
  readonly pool?: PoolName;
}

/** The pool of engines whose machine row has no pool. */
export const DEFAULT_POOL: PoolName = 'default';

/** The pool an engine belongs to. */
export function poolOf(machine: EngineMachine): PoolName {
  return machine.pool ?? DEFAULT_POOL;
}

/** A machine that runs a plain web backend such as a sheet viewer or an order server. */
export interface WebMachine extends MachineBase {
  readonly kind: 'web';
  /** The service that the backend belongs to, matched by the configuration's routes. */
  readonly service: string;
}

/** A machine that runs a daemon; address and port are those of its peer listener. */
export interface DaemonMachine extends MachineBase {
  readonly kind: 'daemon';
}

/** A fencing token: engines refuse orders with a lower one. Ordered by epoch, then sequence. */
export interface Fence {
  /** The epoch of the lease under which the order was sent. */
  readonly epoch: number;
  /** The number of the order among that epoch's orders to this engine. */
  readonly sequence: number;
}

/** The load that an engine reports, measured `ageMs` before the report was sent. */
export interface EngineLoad {
  readonly ageMs: number;
  /** Requests in the running batch. */
  readonly running: number;
  /** Requests accepted but not yet in the batch. */
  readonly queued: number;
  /** Prompt tokens accepted but not yet prefilled. */
  readonly queuedPrefillTokens: number;
  /** Fraction of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
  /** Smoothed prefill speed in tokens per second over the last steps; 0 when unknown. */
  readonly prefillTokensPerSecond: number;
  /** Smoothed duration of a decode step in milliseconds; 0 when unknown. */
  readonly decodeStepMs: number;
}

/** A model loaded in an engine's memory. */
export interface LoadedModel {
  readonly model: ModelName;
  readonly version: VersionName;
  readonly adapters: readonly LoadedAdapter[];
}

/** An adapter loaded in an engine's memory. */
export interface LoadedAdapter {
  readonly adapter: AdapterName;
  readonly version: VersionName;
}

/** The state of the last order that an engine accepted. `done` and `failed` are final. */
export type EngineOrderState = 'running' | 'done' | 'failed';

/** An engine's report of its state. All fields but `load` are current when the report is sent. */
export interface EngineReport {
  readonly engine: BackendName;
  readonly boot: BootId;
  readonly role: EngineRole;
  readonly intake: Intake;
  /** True while a role change or a model load keeps the engine out of service. */
  readonly busy: boolean;
  /** True once the engine's own machine has ordered it to stop. */
  readonly leaving: boolean;
  readonly models: readonly LoadedModel[];
  /** The highest fence the engine has seen in this boot, or null after a start. */
  readonly fence: Fence | null;
  readonly lastOrder: { readonly id: OrderId; readonly state: EngineOrderState } | null;
  readonly maxBatch: number;
  /** Requests accepted and not ended, at the time the report is sent. */
  readonly activeRequests: number;
  readonly load: EngineLoad;
}

/**
 * A daemon's knowledge of one engine. `grantedUntil` bounds how long this daemon may send new
 * requests to the engine. The bound is derived from the time at which the report was requested, so
 * that a daemon partitioned from the engine and from its watcher stops sending without being told
 * (see docs/decisions/drain-barrier.md).
 */
export interface EngineView {
  readonly machine: EngineMachine;
  readonly report: EngineReport | null;
  /** The earliest time at which `report` can have been made, by this daemon's clock. */
  readonly reportedAt: MonotonicMs;
  /** New requests may be sent only before this time, by this daemon's clock. */
  readonly grantedUntil: MonotonicMs;
  /** The daemon that polls this engine. */
  readonly watcher: DaemonName | null;
}
