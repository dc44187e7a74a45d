/**
 * The interface of a platform adapter: the translation of described requests to and from the wire format of callers
 * and backends, and the tables of the platform's store. An adapter translates and decides nothing.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { CapacityOrder } from '../../core/capacity/index.js';
import type {
  EngineStage,
  GatewayConfiguration,
  LimitReading,
  LoadFigures,
  ReportedAvailability,
  RequestDescription,
  ServerRecord,
} from '../../core/gateway/index.js';
import type { StorePosition } from '../../core/platform/store-position.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';

/** Alternating header names and values, as node:http accepts them. */
export type RawHeaders = readonly string[];

/** Where the KV cache of a prefilled prompt is kept for handover. */
export interface HandoverSource {
  /** IP:PORT of the engine that ran the prefill. */
  readonly address: string;
  readonly handle: string;
}

/** What the gateway sends to a backend in addition to the caller's own headers. */
export interface SendInstructions {
  /** The only server that may run the request. */
  readonly serverId: string;
  /** Time left, in whole milliseconds. */
  readonly deadlineMs: number;
  /** The name of the request's tenant as a header value; undefined for a request without one. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent; undefined for web servers. */
  readonly priority: number | undefined;
  /** Run only the prefill and keep the KV cache. */
  readonly prefillOnly: boolean;
  readonly handoverSource: HandoverSource | undefined;
  /** IP:PORT of an engine from which to fetch uncached parts of the prompt. */
  readonly fetchFrom: string | undefined;
  /** Resume the stream after this event; undefined keeps the caller's own header. */
  readonly resumeAfterEventId: string | undefined;
}

/** What the status and headers of a backend's answer say about the answer and its server. */
export interface AnswerMetadata {
  readonly attemptId: string | undefined;
  readonly isStamped: boolean;
  /** The server reports that it has not run the request. */
  readonly isNotExecuted: boolean;
  /** The load that the server reports; undefined if it reports none. */
  readonly load?: ReportedLoad | undefined;
}

/** The load that a server reports. */
export type ReportedLoad =
  | { readonly kind: 'figures'; readonly figures: LoadFigures }
  /** Malformed, and otherwise ignored. */
  | { readonly kind: 'unreadable'; readonly text: string };

/** Whether a server accepts work, as read from one of its answers. */
export interface AvailabilityReading extends ReportedAvailability {
  /** The malformed headers of the answer on this, for the log; empty if there are none. */
  readonly unreadable: string;
}

/** The answer to a request of which only the prefill ran. */
export interface PrefillAnswer {
  readonly handle: string;
  readonly tokens: number;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  readonly partId: string;
  /** Tokens of the part that are cached now; 0 if it was evicted. */
  readonly tokens: number;
}

/** An engine's cache events since an event number. */
export interface CacheEventBatch {
  readonly epoch: string;
  readonly nextNumber: number;
  /** Whether events between the requested number and the first of these are lost. */
  readonly hasGap: boolean;
  readonly events: readonly CacheEvent[];
}

/** An engine's report on itself. */
export interface EngineReport {
  readonly stage: EngineStage;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orderSequence: number;
  /** Unix milliseconds of the engine's start; undefined if the report lacks it. */
  readonly bornMs?: number | undefined;
}

/** An order to an engine to change its stage. */
export interface StageOrder {
  readonly stage: EngineStage;
  readonly holder: string;
  readonly fence: number;
  readonly expectedSequence: number;
}

/** What a server says of itself at its health page. */
export type HealthReading =
  | 'accepts-work'
  | 'declines-work'
  /** Another server answered, or the server is too busy to say. */
  | 'unknown';

/** A call that the gateway makes to a backend on its own behalf. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Translates described requests and calls to and from the platform's wire format. */
export interface RequestCodec {
  /** The caller's description of its request; undefined without an attempt id. */
  describe(headers: IncomingHttpHeaders): RequestDescription | undefined;
  /** The caller's API key, a secret; undefined without one. */
  apiKey(headers: IncomingHttpHeaders): string | undefined;
  /**
   * The headers for a backend: the caller's own without the reserved ones, and those of the instructions.
   * @param callerHeaders the end-to-end headers, without hop-by-hop ones
   */
  backendHeaders(callerHeaders: RawHeaders, instructions: SendInstructions): string[];
  /**
   * The headers for another daemon that runs a caller's request: the caller's own with the time left.
   * @param callerHeaders the end-to-end headers, without hop-by-hop ones
   */
  forwardedHeaders(callerHeaders: RawHeaders, deadlineMs: number): string[];
  readAnswerMetadata(status: number, headers: IncomingHttpHeaders): AnswerMetadata;
  /** Whether the server accepts work, from any of its answers; undefined if the answer does not say. */
  readAvailability(status: number, headers: IncomingHttpHeaders): AvailabilityReading | undefined;
  /** The server's limit of requests per second, from all daemons together, as read from any of its answers. */
  readLimit(status: number, headers: IncomingHttpHeaders): LimitReading;
  /** Parses the answer to a prefill-only request; undefined if it is malformed. */
  readPrefillAnswer(body: Buffer): PrefillAnswer | undefined;
  freeHandle(handle: string, serverId: string): EngineCall;
  cacheEvents(since: number, waitMs: number): EngineCall;
  readCacheEvents(body: Buffer): CacheEventBatch | undefined;
  /** Asks a server whether it accepts work. */
  checkHealth(path: string, serverId: string): EngineCall;
  /** What the answer to `checkHealth` says. */
  readHealth(status: number, headers: IncomingHttpHeaders, serverId: string): HealthReading;
  orderStage(order: StageOrder, serverId: string): EngineCall;
  report(serverId: string): EngineCall;
  readReport(body: Buffer): EngineReport | undefined;
}

/** One row of a watched table. */
export type WatchedRow<Value> =
  | {
      readonly kind: 'value';
      readonly key: string;
      readonly value: Value;
      /** The value as stored, to be forwarded to other daemons; absent where it is not forwarded. */
      readonly encoded?: Buffer;
    }
  | { readonly kind: 'gone'; readonly key: string }
  | { readonly kind: 'malformed'; readonly key: string; readonly problem: string };

/** The answer to a read of a watched table. */
export type WatchAnswer<Value> =
  | ({ readonly kind: 'rows'; readonly rows: readonly WatchedRow<Value>[] } & StorePosition)
  | { readonly kind: 'history-lost'; readonly era: number }
  /** More has changed than one answer may hold; a full read has it page by page. */
  | { readonly kind: 'too-long'; readonly era: number | undefined }
  | {
      readonly kind: 'failed';
      readonly reason: string;
      /** Undefined if no answer came. */
      readonly era?: number | undefined;
      /** Whether the store refused the call, as opposed to a held call that was cut off. */
      readonly wasRefused: boolean;
    };

/** A table of the store that the gateway only reads. */
export interface WatchedTable<Value> {
  readonly name: string;
  /** @param recordPage called after each page but the last: the time-out of the read is that of one page */
  readAll(signal: AbortSignal, recordPage: () => void): Promise<WatchAnswer<Value>>;
  /** A long poll: the store answers when a row changes, or after `waitMs`. */
  changesAfter(revision: number, waitMs: number, signal: AbortSignal): Promise<WatchAnswer<Value>>;
  /** Decodes a row's value from its stored form. */
  decode(key: string, encoded: Buffer): WatchedRow<Value>;
}

/** The gateways' own rows in the store, changed by compare-and-set. */
export interface TableService {
  call(call: TableCall, signal: AbortSignal): Promise<TableResult>;
}

/** The holder of a duty and its fencing token. */
export interface DutyAuthority {
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fence: number;
}

/** How many requests of each tenant began to run in a window of Unix time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The outcome of a duty's call to the platform. */
export type DutyOutcome =
  | { readonly kind: 'accepted' }
  /** Another daemon has used a higher fence, or the ordered servers are not available. */
  | { readonly kind: 'conflict' }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No answer: the call may have taken effect, or may still do so. */
  | { readonly kind: 'lost'; readonly reason: string };

/** The duties: calls to the platform that one daemon at a time makes. */
export interface PlatformDuties {
  reportUsage(
    report: UsageReport,
    authority: DutyAuthority,
    signal: AbortSignal,
  ): Promise<DutyOutcome>;
  orderCapacity(
    order: CapacityOrder,
    authority: DutyAuthority,
    signal: AbortSignal,
  ): Promise<DutyOutcome>;
}

/** What a gateway needs of a platform. */
export interface PlatformAdapter {
  readonly requests: RequestCodec;
  readonly configurations: WatchedTable<GatewayConfiguration>;
  readonly servers: WatchedTable<ServerRecord>;
  readonly table: TableService;
  /** Undefined for a platform without duties. */
  readonly duties: PlatformDuties | undefined;
  /** The path of readiness probes. */
  readonly readinessPath: string;
}
