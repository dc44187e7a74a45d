/** Input and result of an explanation. */
import type { MonotonicMs } from '../../common/time.js';
import type { Row } from '../../language/index.js';
import type { DaemonState } from '../state.js';

export type ExplainedSubject = 'request' | 'engine' | 'config';

/** An explanation: sentences, the answer first, and the tables that support them. */
export interface ExplanationText {
  readonly subject: ExplainedSubject;
  readonly id: string | null;
  readonly sentences: readonly string[];
  readonly tables: readonly { readonly title: string; readonly rows: readonly Row[] }[];
}

export interface ExplainInput {
  readonly state: DaemonState;
  readonly subject: ExplainedSubject;
  /** A request id or an engine's name; null means the latest request. */
  readonly id: string | null;
  readonly now: MonotonicMs;
  /** The stored orders; null when the table service did not answer. */
  readonly orders: readonly Row[] | null;
}
