/**
 * Descriptions, events, effects and outcomes of caller requests.
 */
import type {
  AdapterName,
  AttemptId,
  BackendName,
  ClassName,
  ModelName,
  RequestId,
  TenantName,
  VersionName,
} from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { Fault } from '../errors/fault.js';

/** The target of a request: a model with an optional adapter, or a web service. */
export type RequestTarget =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      readonly adapter: AdapterName | null;
      /** Estimated from the prompt's length; the engine reports its own count on completion. */
      readonly promptTokens: number;
      readonly maxOutputTokens: number;
      /**
       * Hashes of the prompt's successive prefix blocks, used to find engines that cached a prefix.
       */
      readonly prefixHashes: readonly string[];
    }
  | { readonly kind: 'web'; readonly service: string };

/** A request as the HTTP shell passes it to the core. The body stays in the shell. */
export interface RequestDescription {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly className: ClassName;
  readonly target: RequestTarget;
  readonly streamed: boolean;
  /** If false, the request is never sent again once its first byte may have been sent. */
  readonly repeatable: boolean;
  readonly idempotencyKey: string | null;
  /** A digest of method, path and body; a repeated key with another digest is refused. */
  readonly bodyDigest: string | null;
  readonly arrivedAt: MonotonicMs;
  readonly deadline: MonotonicMs;
}

/** The reason of a `not-sent` event when the dispatch grant expired before the request was sent. */
export const GRANT_LAPSED = 'grant-lapsed';

/** The progress and result of an attempt, reported by the HTTP shell. */
export type AttemptEvent =
  /** The attempt failed before any byte of the request may have been sent. */
  | { readonly kind: 'not-sent'; readonly attempt: AttemptId; readonly reason: string }
  /** The backend reported that it did not run the request (documented engine refusals only). */
  | {
      readonly kind: 'refused-not-run';
      readonly attempt: AttemptId;
      readonly reason: string;
      readonly retryAfterMs?: Milliseconds;
    }
  /** Response headers arrived and are forwarded to the caller. */
  | { readonly kind: 'first-byte'; readonly attempt: AttemptId; readonly status: number }
  /** The complete answer was forwarded to the caller. */
  | {
      readonly kind: 'completed';
      readonly attempt: AttemptId;
      readonly promptTokens: number;
      readonly outputTokens: number;
      /** The outcome to record under the idempotency key; set only for a request with a key. */
      readonly outcome?: RecordedOutcome;
    }
  /**
   * The attempt broke after bytes may have been sent: a reset, early close, stall or malformed
   * frame. `deliveredTokens` is the offset of the first token that the caller has not received.
   */
  | {
      readonly kind: 'broken';
      readonly attempt: AttemptId;
      readonly reason: string;
      readonly deliveredTokens: number;
      /** True when response headers were already forwarded to the caller. */
      readonly headersForwarded: boolean;
      /** The version that generated the delivered tokens; null before the first token. */
      readonly version: VersionName | null;
    };

/** Effects that the HTTP shell executes. */
export type RequestEffect =
  | {
      readonly kind: 'dispatch';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly backend: BackendName;
      readonly address: string;
      readonly port: number;
      /** The first token offset to request: 0, or where a broken stream was interrupted. */
      readonly resumeOffset: number;
      readonly priority: number;
      /**
       * When the dispatch grant expires, by this daemon's clock: no byte may be sent from then on.
       * Absent for web backends, which need no grant.
       */
      readonly sendBefore?: MonotonicMs;
    }
  /** Send the caller a fault as its final answer. */
  | { readonly kind: 'refuse'; readonly request: RequestId; readonly fault: Fault }
  /** Abort a partly delivered answer in a way that the caller cannot take for a complete one. */
  | { readonly kind: 'abort'; readonly request: RequestId; readonly fault: Fault }
  /** Cancel an attempt at its backend (the caller disconnected or the deadline passed). */
  | { readonly kind: 'cancel'; readonly request: RequestId; readonly attempt: AttemptId }
  /** Answer with the outcome recorded under the caller's idempotency key. */
  | { readonly kind: 'replay'; readonly request: RequestId; readonly outcome: RecordedOutcome };

/** The decision of admission and routing on a request. */
export type RouteChoice =
  | {
      readonly kind: 'dispatch';
      readonly backend: BackendName;
      readonly address: string;
      readonly port: number;
      /** When the dispatch grant expires; absent for web backends. */
      readonly sendBefore?: MonotonicMs;
    }
  /** Admission queues the request; an `admitted` event follows when it may be dispatched. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly fault: Fault };

/** How an attempt ended, for routing's health and load tracking. */
export type AttemptResult = 'completed' | 'refused' | 'not-sent' | 'broken' | 'cancelled';

/** How a request ended, for admission and the metrics. */
export type RequestResult = 'answered' | 'refused-not-run' | 'unknown' | 'caller-gone' | 'replayed';

/** Notifies admission, routing and the metrics of attempts and requests. */
export type RequestNotice =
  | {
      readonly kind: 'attempt-started';
      readonly description: RequestDescription;
      readonly attempt: AttemptId;
      readonly backend: BackendName;
    }
  | {
      readonly kind: 'attempt-ended';
      readonly description: RequestDescription;
      readonly attempt: AttemptId;
      readonly backend: BackendName;
      readonly result: AttemptResult;
      /** The engine's code or the network's error; empty when completed. */
      readonly reason: string;
    }
  | {
      readonly kind: 'request-ended';
      readonly description: RequestDescription;
      readonly result: RequestResult;
      readonly attempts: number;
      /** The engine's token counts; 0 unless answered. */
      readonly promptTokens: number;
      readonly outputTokens: number;
    };

/** The outcome stored in the row `claim/<tenant>/<idempotency key>` once a request has ended. */
export type RecordedOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly kind: 'answered-too-large-to-replay'; readonly status: number }
  | { readonly kind: 'failed'; readonly fault: Fault };
