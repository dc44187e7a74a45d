/**
 * The core's port to the platform's object store. Objects are written once and never change. See docs/PLATFORM-API.md.
 */

/** One call on the object store. The content is stored as JSON. */
export type ObjectCall =
  | { readonly kind: 'get'; readonly name: string }
  | { readonly kind: 'put'; readonly name: string; readonly content: unknown };

/** The outcome of a call. `lost`: a put may or may not have taken effect; repeat it. */
export type ObjectResult =
  | { readonly kind: 'content'; readonly content: unknown }
  | { readonly kind: 'absent' }
  | { readonly kind: 'stored' }
  /** An object of that name exists with different content. */
  | { readonly kind: 'exists-differently' }
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'lost'; readonly reason: string };

/** Requests a call on the object store from the shell; the result has the same token. */
export interface ObjectEffect {
  readonly kind: 'object';
  /** Unique among the reducer's calls in flight. */
  readonly token: string;
  readonly call: ObjectCall;
}

/** The result of an object store call. */
export interface ObjectResultEvent {
  readonly kind: 'object-result';
  readonly token: string;
  readonly result: ObjectResult;
}
