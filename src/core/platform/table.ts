/**
 * The core's port to the platform's transactional table service: calls are effects, and their results arrive as
 * events. See docs/PLATFORM-API.md for the wire format.
 */

/** A row. `version` rises with each write of the key and is never reused within an era of the store; 0 means absent. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A condition of a transaction: the key must have exactly this version (0: absent). */
export interface TableCheck {
  readonly key: string;
  readonly version: number;
}

/** A write of a transaction. A null value deletes the row. */
export interface TableWrite {
  readonly key: string;
  readonly value: unknown;
}

/** One call on the table service. */
export type TableCall =
  | { readonly kind: 'get'; readonly keys: readonly string[] }
  | {
      readonly kind: 'scan';
      readonly prefix: string;
      readonly limit: number;
      /** Only rows with a greater key are returned; used for the next part of a long scan. */
      readonly after?: string | undefined;
    }
  | {
      readonly kind: 'transact';
      readonly checks: readonly TableCheck[];
      readonly writes: readonly TableWrite[];
    };

/** The rows of an answer. */
export interface TableAnswer {
  readonly rows: readonly TableRow[];
  /** The era of the store to which the row versions belong; absent if the store reports none. */
  readonly era?: number | undefined;
  /** The key after which the store cut the answer, so that later rows are missing; absent where it holds the last. */
  readonly continueAfter?: string | undefined;
}

/** The outcome of a call. `lost`: the call may or may not have taken effect; read the rows to find out. */
export type TableResult =
  | ({ readonly kind: 'rows' } & TableAnswer)
  | ({ readonly kind: 'committed' } & TableAnswer)
  | ({ readonly kind: 'conflict' } & TableAnswer)
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'lost'; readonly reason: string };

/** Requests a call on the table service from the shell; the result has the same token. */
export interface TableEffect {
  readonly kind: 'table';
  /** Unique among the reducer's calls in flight. */
  readonly token: string;
  readonly call: TableCall;
}

/** The result of a table call. */
export interface TableResultEvent {
  readonly kind: 'table-result';
  readonly token: string;
  readonly result: TableResult;
}
