/** The kinds of requests that callers send. */

export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A kind of request that callers send. */
export interface RequestClass {
  readonly name: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly attempts: number;
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** Whether a stream of it may be taken up after a break. */
  readonly isResumable: boolean;
  /** Share of all requests. */
  readonly share: number;
}
