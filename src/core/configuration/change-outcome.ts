/**
 * The outcome of an operator's change. Every change gets exactly one of these answers; `applied`
 * only once the new version is in force on every daemon that may still be running.
 */
import type { ChangeId, DaemonName } from '../common/identifiers.js';
import type { Fault } from '../errors/fault.js';

/** The change is in force on every daemon that is present or still in the machine list. */
export interface ChangeApplied {
  readonly kind: 'applied';
  readonly id: ChangeId;
  readonly version: number;
  /** How many daemons confirmed this version or a later one. */
  readonly inForce: number;
}

/** The change has had no effect and will have none. */
export interface ChangeRefused {
  readonly kind: 'refused';
  readonly id: ChangeId;
  readonly fault: Fault;
  /** The current version, for the operator to review; null when it is not known. */
  readonly currentVersion: number | null;
}

/** The change may have been recorded, or is recorded but not confirmed in force everywhere. */
export interface ChangeUnknown {
  readonly kind: 'unknown';
  readonly id: ChangeId;
  readonly message: string;
  /** The version that recorded the change; null when it is unknown whether it is recorded. */
  readonly recordedVersion: number | null;
  /** Daemons that have not confirmed the recorded version. */
  readonly waitingFor: readonly DaemonName[];
}

/** The differences that the change would make; nothing was written. */
export interface ChangeDryRun {
  readonly kind: 'dry-run';
  readonly id: ChangeId;
  /** The version to which the change was applied for the dry run. */
  readonly version: number;
  /** One sentence for each difference. */
  readonly description: readonly string[];
}

/** The final answer to an operator's change. */
export type ChangeOutcome = ChangeApplied | ChangeRefused | ChangeUnknown | ChangeDryRun;
