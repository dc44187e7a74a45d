/**
 * The state of a pool's controller: one `EngineControl` for each engine of the pool.
 */
import type { BackendName, BootId, OrderId } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { Authority } from '../lease/index.js';
import type { IntentRow } from '../orders/index.js';
import type { EngineView, Fence, Intake } from '../registry/backend.js';
import type { ControllerSettings, DesiredEngine } from './types.js';

/** An engine's intent row as this controller last read or wrote it. */
export interface KnownIntent {
  readonly version: number;
  readonly value: IntentRow | null;
  /** When the row was read or written: a report requested later is newer than the row. */
  readonly knownAt: MonotonicMs;
}

/** A message to an engine that has not been answered. */
export type PendingSend =
  | {
      readonly kind: 'hold';
      readonly orderId: OrderId;
      readonly fence: Fence;
      readonly boot: BootId;
      readonly intake: Intake;
    }
  | {
      readonly kind: 'order';
      readonly orderId: OrderId;
      readonly fence: Fence;
      readonly boot: BootId;
    }
  | { readonly kind: 'query'; readonly orderId: OrderId };

/** A write of an intent row that has not been answered. */
export interface PendingWrite {
  readonly token: string;
  readonly row: IntentRow;
}

/**
 * What this controller knows about the order of an unresolved intent in phase `ordered`.
 * `unasked`: the engine may have received the order and must be queried. `not-run`: the order was
 * not sent, or the engine reported it unknown or refused it without running it.
 */
export type OrderProgress = 'unasked' | 'not-run' | 'running' | 'done' | 'failed';

/** What a controller knows about one engine under the current epoch. */
export interface EngineControl {
  readonly engine: BackendName;
  /** Null while the row must be read: at first, and after a conflicting or lost write. */
  readonly intent: KnownIntent | null;
  readonly write: PendingWrite | null;
  readonly send: PendingSend | null;
  /** The last sequence used in a fence for this engine. */
  readonly sequence: number;
  /** The engine boot that has acknowledged a fence of this epoch. */
  readonly fencedBoot: BootId | null;
  /** The sequence of the last acknowledged hold. */
  readonly fencedSequence: number;
  /** The intake that the fenced boot last acknowledged. */
  readonly intake: Intake | null;
  /** When the engine acknowledged closing its intake; null unless the intake is closed. */
  readonly closedAt: MonotonicMs | null;
  /** When the engine last refused the order as busy: only a later report can prove it idle. */
  readonly busyAt: MonotonicMs | null;
  readonly progress: OrderProgress;
  /** The highest sequence under which the current order was sent; 0 when it was not sent. */
  readonly orderSequence: number;
  /** When this controller began or took over the drain; null when no intent is unresolved. */
  readonly drainStartedAt: MonotonicMs | null;
  /** A boot of the engine that is known to have ended. */
  readonly endedBoot: BootId | null;
  /** Nothing is sent to the engine before this time. */
  readonly retryAt: MonotonicMs;
  /** The number of consecutive messages that were lost or refused. */
  readonly failures: number;
  /** No new intent is begun before this time. */
  readonly nextChangeAt: MonotonicMs;
  /** The number of consecutive intents that failed or were abandoned. */
  readonly failedChanges: number;
  /** True when the engine has seen a higher epoch than that of this controller. */
  readonly outranked: boolean;
}

/** A read of intent rows that has not been answered. */
export interface PendingRead {
  readonly token: string;
  readonly engines: readonly BackendName[];
}

/** The state of a pool's controller. */
export interface ControllerState {
  readonly settings: ControllerSettings;
  readonly authority: Authority | null;
  /** The last own epoch that a table conflict has shown to be superseded; 0 when none. */
  readonly deposedEpoch: number;
  readonly views: ReadonlyMap<BackendName, EngineView>;
  readonly desired: ReadonlyMap<BackendName, DesiredEngine>;
  readonly engines: ReadonlyMap<BackendName, EngineControl>;
  readonly read: PendingRead | null;
  readonly tableRetryAt: MonotonicMs;
  readonly tableFailures: number;
  /** The number of table calls made; makes their tokens unique. */
  readonly calls: number;
  /** The number of intents begun under this epoch; makes order ids unique. */
  readonly intents: number;
}

/** A controller without authority. */
export function initialControllerState(settings: ControllerSettings): ControllerState {
  return {
    settings,
    authority: null,
    deposedEpoch: 0,
    views: new Map(),
    desired: new Map(),
    engines: new Map(),
    read: null,
    tableRetryAt: 0,
    tableFailures: 0,
    calls: 0,
    intents: 0,
  };
}

/** The control state of an engine before its intent row has been read. */
export function initialEngineControl(engine: BackendName): EngineControl {
  return {
    engine,
    intent: null,
    write: null,
    send: null,
    sequence: 0,
    fencedBoot: null,
    fencedSequence: 0,
    intake: null,
    closedAt: null,
    busyAt: null,
    progress: 'unasked',
    orderSequence: 0,
    drainStartedAt: null,
    endedBoot: null,
    retryAt: 0,
    failures: 0,
    nextChangeAt: 0,
    failedChanges: 0,
    outranked: false,
  };
}
