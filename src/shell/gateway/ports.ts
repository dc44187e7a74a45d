/**
 * What an adapter to a platform provides: how described requests are spoken with callers and
 * backends, and the tables of the platform's store. An adapter translates and decides nothing.
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

/** Header names and values in turn, as node:http takes them. */
export type RawHeaders = readonly string[];

/** Where a prompt's memory lies. */
export interface HandoverSource {
  /** IP:PORT of the engine that read the prompt. */
  readonly address: string;
  readonly handle: string;
}

/** What the product says to a backend beside the caller's own headers. */
export interface SendInstructions {
  /** Any other server must not run the request. */
  readonly serverId: string;
  /** Time left, in whole milliseconds. */
  readonly deadlineMs: number;
  /** The name of the tenant whose request it is; undefined where it has none. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent; undefined for plain web servers. */
  readonly priority: number | undefined;
  /** Only read the prompt and keep its memory. */
  readonly prefillOnly: boolean;
  readonly handoverSource: HandoverSource | undefined;
  /** IP:PORT of an engine to take missing parts of the prompt from. */
  readonly fetchFrom: string | undefined;
  /** Go on after this event; undefined keeps what the caller said. */
  readonly resumeAfterEventId: string | undefined;
}

/** The marks by which a backend's answer is told from others. */
export interface AnswerMetadata {
  readonly attemptId: string | undefined;
  readonly isStamped: boolean;
  /** The server says that the request has not run there. */
  readonly isNotExecuted: boolean;
  /** What the server says of its load; undefined where it says nothing. */
  readonly load?: ReportedLoad | undefined;
}

/** A server's own word on its load. */
export type ReportedLoad =
  | { readonly kind: 'figures'; readonly figures: LoadFigures }
  /** Not as servers write it; it says nothing. */
  | { readonly kind: 'unreadable'; readonly text: string };

/** A server's word on whether it takes work, as an answer has it. */
export interface AvailabilityReading extends ReportedAvailability {
  /** What the answer says of it that is not as servers write it; empty where there is nothing such. */
  readonly unreadable: string;
}

/** A prompt that was read. */
export interface PrefillAnswer {
  readonly handle: string;
  readonly tokens: number;
}

/** A change of an engine's cache. */
export interface CacheEvent {
  readonly partId: string;
  /** Tokens of the part that are kept now; 0 when it was given up. */
  readonly tokens: number;
}

/** An engine's cache news since a number. */
export interface CacheEventBatch {
  readonly epoch: string;
  readonly nextNumber: number;
  /** Events between the asked number and these are lost. */
  readonly hasGap: boolean;
  readonly events: readonly CacheEvent[];
}

/** What an engine says of itself. */
export interface EngineReport {
  readonly stage: EngineStage;
  /** An order is being carried out. */
  readonly isBusy: boolean;
  /** Orders taken since its start. */
  readonly orderSequence: number;
  /** Unix milliseconds of its start; undefined where it does not say. */
  readonly bornMs?: number | undefined;
}

/** An order that gives an engine another stage. */
export interface StageOrder {
  readonly stage: EngineStage;
  readonly holder: string;
  readonly fence: number;
  readonly expectedSequence: number;
}

/** A call of the product's own to a backend. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** How described requests are spoken. */
export interface RequestCodec {
  /** What the caller states; undefined when it gives no attempt id. */
  describe(headers: IncomingHttpHeaders): RequestDescription | undefined;
  /** The caller's API key; undefined when it gives none. A secret. */
  apiKey(headers: IncomingHttpHeaders): string | undefined;
  /**
   * The headers for a backend: the caller's own, less those that only the product sets.
   * @param callerHeaders those of the message, without those of its connection
   */
  backendHeaders(callerHeaders: RawHeaders, instructions: SendInstructions): string[];
  readAnswerMetadata(status: number, headers: IncomingHttpHeaders): AnswerMetadata;
  /** What any answer of a server says of whether it takes work; undefined where it says nothing. */
  readAvailability(status: number, headers: IncomingHttpHeaders): AvailabilityReading | undefined;
  /** What any answer of a server says of the requests a second that it takes from all daemons together. */
  readLimit(status: number, headers: IncomingHttpHeaders): LimitReading;
  /** The answer to a prompt that was only read; undefined when it is none. */
  readPrefillAnswer(body: Buffer): PrefillAnswer | undefined;
  freeHandle(handle: string, serverId: string): EngineCall;
  cacheEvents(since: number, waitMs: number): EngineCall;
  readCacheEvents(body: Buffer): CacheEventBatch | undefined;
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
      /** The value as the store holds it, to be passed on; absent where that is not done. */
      readonly encoded?: Buffer;
    }
  | { readonly kind: 'gone'; readonly key: string }
  | { readonly kind: 'malformed'; readonly key: string; readonly problem: string };

/** The answer to a read of a watched table. */
export type WatchAnswer<Value> =
  | ({ readonly kind: 'rows'; readonly rows: readonly WatchedRow<Value>[] } & StorePosition)
  | { readonly kind: 'history-lost'; readonly era: number }
  | {
      readonly kind: 'failed';
      readonly reason: string;
      /** Undefined where no answer came. */
      readonly era?: number | undefined;
      /** The store answered that it does nothing now, so it has not cut a call that it held. */
      readonly wasRefused: boolean;
    };

/** A table of the store that the product only reads. */
export interface WatchedTable<Value> {
  readonly name: string;
  readAll(signal: AbortSignal): Promise<WatchAnswer<Value>>;
  /** Held until a row changes or the wait is over. */
  changesAfter(revision: number, waitMs: number, signal: AbortSignal): Promise<WatchAnswer<Value>>;
  /** Reads a row's value as the store holds it. */
  decode(key: string, encoded: Buffer): WatchedRow<Value>;
}

/** The product's own rows in the store, changed by compare-and-set. */
export interface TableService {
  call(call: TableCall, signal: AbortSignal): Promise<TableResult>;
}

/** Who makes a call that one daemon at a time makes, and its fencing token. */
export interface DutyAuthority {
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fence: number;
}

/** How often requests of each tenant began to run in a window of true time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** What the platform says of a duty's call. */
export type DutyOutcome =
  | { readonly kind: 'accepted' }
  /** Another daemon has used a higher fence, or what was asked for is not to be had. */
  | { readonly kind: 'conflict' }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly status: number }
  /** It may have been done, or may be done later. */
  | { readonly kind: 'lost'; readonly reason: string };

/** Calls to the platform that one daemon at a time makes. */
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

/** A platform, as far as described requests need one. */
export interface PlatformAdapter {
  readonly requests: RequestCodec;
  readonly configurations: WatchedTable<GatewayConfiguration>;
  readonly servers: WatchedTable<ServerRecord>;
  readonly table: TableService;
  /** Undefined where the platform asks for none. */
  readonly duties: PlatformDuties | undefined;
  /** The path of readiness questions. */
  readonly readinessPath: string;
}
