/** The outcome of a request, as its caller sees it. */

/** The kinds of outcome. */
export const OUTCOME_KINDS = ['finished', 'refused', 'unknown', 'wrong', 'cut'] as const;
/** A kind of outcome. */
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

/** The outcome of one request. */
export type Outcome =
  /** A complete and correct answer. Tokens are 0 for web requests. */
  | { readonly kind: 'finished'; readonly outputTokens: number }
  /** The answer states that the request was not run, or no connection was established. */
  | {
      readonly kind: 'refused';
      readonly code: string;
      /** When the caller may retry; null if the answer does not state it. */
      readonly retryAfterMs: number | null;
    }
  /** The request may have run: the answer states so, or the connection broke before an answer. */
  | { readonly kind: 'unknown'; readonly code: string }
  /** An answer with incorrect content; always a fault of the system under test. */
  | { readonly kind: 'wrong'; readonly detail: string }
  /** An answer that broke off after it began. */
  | { readonly kind: 'cut'; readonly detail: string };
