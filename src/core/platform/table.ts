/**
 * The port to the platform's transactional table service, as the core sees it: effects go out,
 * results come back as events. See docs/PLATFORM-API.md for the wire form.
 */

/** A row. `version` grows with each write of the key and is never reused within an era of the store; 0 means absent. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A condition of a transaction: the key must be at exactly this version (0: absent). */
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
      /** Only rows whose key comes after this one; for the next part of a long scan. */
      readonly after?: string | undefined;
    }
  | {
      readonly kind: 'transact';
      readonly checks: readonly TableCheck[];
      readonly writes: readonly TableWrite[];
    };

/** Rows of an answer. */
export interface TableAnswer {
  readonly rows: readonly TableRow[];
  /** The era of the store that their versions are of; absent where it tells none. */
  readonly era?: number | undefined;
}

/** What became of a call. `lost`: it may or may not have taken effect; read back to find out. */
export type TableResult =
  | ({ readonly kind: 'rows' } & TableAnswer)
  | ({ readonly kind: 'committed' } & TableAnswer)
  | ({ readonly kind: 'conflict' } & TableAnswer)
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'lost'; readonly reason: string };

/** Asks the shell for a call on the table service; the result comes back under the same token. */
export interface TableEffect {
  readonly kind: 'table';
  /** Unique among the calls in flight of the reducer that asked. */
  readonly token: string;
  readonly call: TableCall;
}

/** The result of a table call. */
export interface TableResultEvent {
  readonly kind: 'table-result';
  readonly token: string;
  readonly result: TableResult;
}
