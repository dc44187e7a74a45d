/**
 * What the operator server asks of the daemon behind it. The daemon's composition implements it.
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

/** What a change makes of the configuration: commands on the one in force, or a whole new one. */
export type ChangeBody =
  | { readonly kind: 'commands'; readonly commands: readonly Command[] }
  /** Checked whole by the server already. */
  | { readonly kind: 'document'; readonly document: ConfigurationDocument };

/** A change that an operator asks for. */
export interface ChangeRequest {
  /** A repeat under the same id takes effect once and gets the first one's outcome. */
  readonly id: ChangeId;
  readonly body: ChangeBody;
  /** Refuse unless this version is in force; null does not ask. */
  readonly ifVersion: number | null;
  readonly dryRun: boolean;
  /** The name of the operator's token, or `unauthenticated`. */
  readonly operator: string;
}

/** What `explain` explains. */
export const EXPLAIN_SUBJECTS = ['request', 'engine', 'config'] as const;

/** One of them. */
export type ExplainSubject = (typeof EXPLAIN_SUBJECTS)[number];

/** Why something is as it is. */
export interface Explanation {
  readonly subject: ExplainSubject;
  readonly id: string | null;
  /** Sentences, the answer first and then what it rests on. */
  readonly sentences: readonly string[];
  /** Tables that back the sentences, for example the candidates of a request with their scores. */
  readonly tables: readonly ExplanationTable[];
}

/** A table that backs an explanation. */
interface ExplanationTable {
  readonly title: string;
  readonly rows: readonly Row[];
}

/** How the daemon itself is doing. */
export interface OperatorStatus {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly programVersion: string;
  readonly uptimeMs: Milliseconds;
  readonly state: 'serving' | 'stopping';
  readonly configurationVersion: number;
  /** Whether the daemon has lately confirmed that no later version is in force. */
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

/** The daemon as the operator server sees it. No call throws; what fails is a fault or an outcome. */
export interface OperatorBackend {
  /**
   * The rows of a table. `query` is a hint: where it pins a field (see `requiredTextValue`), only those
   * rows need be fetched. The server evaluates the query itself.
   */
  rows(table: TableName, query: Query): Promise<Result<readonly Row[], Fault>>;
  change(request: ChangeRequest): Promise<ChangeOutcome>;
  explain(subject: ExplainSubject, id: string | null): Promise<Result<Explanation, Fault>>;
  status(): OperatorStatus;
  /** The configuration in force on this daemon. */
  configuration(): VersionedConfiguration;
}
