/** The events that the simulation reports to its observers, such as an oracle or a report. */
import type { AttemptId, BackendName, DaemonName, OrderId } from '../../core/common/identifiers.js';
import type { ChangeOutcome } from '../../core/configuration/index.js';
import type { Fault } from '../../core/errors/fault.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import type { RequestDescription } from '../../core/requests/index.js';

/** How a caller's request ended, as the caller saw it. */
export type CallerOutcome =
  | { readonly kind: 'answered'; readonly tokens: readonly string[] }
  | { readonly kind: 'replayed' }
  | { readonly kind: 'failed'; readonly fault: Fault; readonly tokens: readonly string[] }
  /** The connection ended without an answer. */
  | { readonly kind: 'disconnected'; readonly tokens: readonly string[] }
  /** No connection could be made: nothing was sent. */
  | { readonly kind: 'unreachable' };

/** The length and prefix blocks of a prompt. */
export interface PromptShape {
  readonly tokens: number;
  readonly blockHashes: readonly string[];
}

/** A caller's request. */
export interface IssuedRequest {
  readonly description: RequestDescription;
  /** The prompt; with a `shape`, a short text in place of the prompt. */
  readonly prompt: string;
  /** The prompt's length and blocks when its text is not generated. */
  readonly shape?: PromptShape;
  readonly outputTokens: number;
  readonly issuedAt: number;
}

/** Receives every event that callers, engines and operators see. */
export interface FleetObserver {
  requestIssued(request: IssuedRequest): void;
  /** A caller has received the next token of its answer. */
  tokenReceived?(request: IssuedRequest): void;
  requestEnded(request: IssuedRequest, outcome: CallerOutcome): void;
  attemptAccepted(engine: BackendName, attempt: AttemptId): void;
  /** An order interrupted an active attempt at the engine. */
  attemptCut(engine: BackendName, attempt: AttemptId): void;
  orderAnswered(order: Order, answer: OrderAnswer): void;
  orderEnded(engine: BackendName, order: OrderId, state: 'done' | 'failed'): void;
  /** A daemon starts a new incarnation, without any state of an earlier one. */
  daemonStarted?(daemon: DaemonName): void;
  configurationInForce(daemon: DaemonName, version: number): void;
  changeAnswered(daemon: DaemonName, outcome: ChangeOutcome): void;
}
