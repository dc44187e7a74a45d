/**
 * The interface between the operator server and the daemon, which implements it.
 */
import type { Result } from 'neverthrow';
import type { ChangeId, DaemonName, Incarnation, ZoneName } from '../../core/common/identifiers.js';
import type { Milliseconds } from '../../core/common/time.js';
import type { ChangeOutcome } from '../../core/configuration/change-outcome.js';
import type {
  ConfigurationDocument,
  VersionedConfiguration,
} from '../../core/configuration/document.js';
import type { Fault } from '../../core/errors/fault.js';
import type { Command, Query, Row, TableName } from '../../core/language/index.js';

/** A change: commands on the configuration in force, or a complete new configuration. */
export type ChangeBody =
  | { readonly kind: 'commands'; readonly commands: readonly Command[] }
  /** Already validated by the server. */
  | { readonly kind: 'document'; readonly document: ConfigurationDocument };

/** A change that an operator requests. */
export interface ChangeRequest {
  /** A repeat with the same id is not applied again and gets the outcome of the first. */
  readonly id: ChangeId;
  readonly body: ChangeBody;
  /** The change is refused unless this version is in force; null for no condition. */
  readonly ifVersion: number | null;
  readonly dryRun: boolean;
  /** The name of the operator's token, or `unauthenticated`. */
  readonly operator: string;
}

/** The subjects that `explain` accepts. */
export const EXPLAIN_SUBJECTS = ['request', 'engine', 'config'] as const;

/** A subject of `explain`. */
export type ExplainSubject = (typeof EXPLAIN_SUBJECTS)[number];

/** An explanation of the state of a subject. */
export interface Explanation {
  readonly subject: ExplainSubject;
  readonly id: string | null;
  /** The answer first, followed by its reasons. */
  readonly sentences: readonly string[];
  /** Tables that back the sentences, for example the candidates of a request with their scores. */
  readonly tables: readonly ExplanationTable[];
}

/** A table that backs an explanation. */
interface ExplanationTable {
  readonly title: string;
  readonly rows: readonly Row[];
}

/** The status of the daemon. */
export interface OperatorStatus {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly programVersion: string;
  readonly uptimeMs: Milliseconds;
  readonly state: 'serving' | 'stopping';
  readonly configurationVersion: number;
  /** Whether the daemon has read the configuration and knows of no version later than the one in force. */
  readonly configurationCurrent: boolean;
  readonly store: 'reachable' | 'unreachable' | 'unknown';
  readonly daemonsAlive: number;
  readonly daemonsSuspect: number;
  readonly enginesKnown: number;
  /** Engines that this daemon may send new requests to now. */
  readonly enginesGranted: number;
  readonly requestsRunning: number;
  readonly requestsQueued: number;
}

/** The calls of the daemon. None throws; a failure is a fault or a change outcome. */
export interface OperatorBackend {
  /**
   * The rows of a table. `query` is a hint: if it fixes the value of a field (see `requiredTextValue`),
   * only matching rows need to be fetched. The server evaluates the query itself.
   */
  rows(table: TableName, query: Query): Promise<Result<readonly Row[], Fault>>;
  change(request: ChangeRequest): Promise<ChangeOutcome>;
  explain(subject: ExplainSubject, id: string | null): Promise<Result<Explanation, Fault>>;
  status(): OperatorStatus;
  /** The configuration in force on this daemon. */
  configuration(): VersionedConfiguration;
}
