/** Messages between daemons on where streams began, and their wire form. */
import * as z from 'zod/mini';
import type { OriginView, StreamOrigin } from '../../core/gateway/index.js';
import { KINDS } from './peer-message-fields.js';

/** A record of a stream, with times relative to the sender's clock. */
export interface AgedStreamRecord {
  readonly streamId: string;
  readonly origin: StreamOrigin;
  /** Time since its first event. */
  readonly ageMs: number;
  /** Time until no caller takes it up any more. */
  readonly leftMs: number;
}

/** Records to keep; answered by `stream-records-stored` with the same number. */
export interface StreamRecordsMessage {
  readonly kind: 'stream-records';
  readonly number: number;
  readonly records: readonly AgedStreamRecord[];
}

export interface StreamRecordsStoredMessage {
  readonly kind: 'stream-records-stored';
  readonly number: number;
}

/** Asks where a stream began; answered by `stream-answered` with the same number. */
export interface StreamAskedMessage {
  readonly kind: 'stream-asked';
  readonly number: number;
  /** Empty for a stream that its caller does not name. */
  readonly streamId: string;
  readonly routeKey: string;
  /** How long a stream of the route may live. */
  readonly lifeMs: number;
}

export interface StreamAnsweredMessage {
  readonly kind: 'stream-answered';
  readonly number: number;
  readonly zone: string;
  /** Undefined where the daemon has no record of the stream. */
  readonly record: Pick<AgedStreamRecord, 'origin' | 'ageMs'> | undefined;
  /** Where streams without a record may have begun. */
  readonly view: OriginView;
}

/** A message on where streams began. */
export type StreamMessage =
  | StreamRecordsMessage
  | StreamRecordsStoredMessage
  | StreamAskedMessage
  | StreamAnsweredMessage;

/** A finite number that is not negative; any other value makes a message unreadable. */
const spanMs = z.number().check(z.nonnegative());
const requestNumber = z.int().check(z.nonnegative());
/** Service and software version. */
const originSchema = z.tuple([z.string(), z.string()]);

/** Number; for each record the stream, its service and software version, its age and its time left. */
export const streamRecordsSchema = z.tuple([
  z.literal(KINDS.streamRecords),
  requestNumber,
  z.array(z.tuple([z.string(), originSchema, spanMs, spanMs])),
]);
export const streamRecordsStoredSchema = z.tuple([
  z.literal(KINDS.streamRecordsStored),
  requestNumber,
]);
/** Number, stream, route, the longest life of its streams. */
export const streamAskedSchema = z.tuple([
  z.literal(KINDS.streamAsked),
  requestNumber,
  z.string(),
  z.string(),
  spanMs,
]);
/** Number, zone, origin and age or null, possible origins, whether they reach back for the life of a stream. */
export const streamAnsweredSchema = z.tuple([
  z.literal(KINDS.streamAnswered),
  requestNumber,
  z.string(),
  z.nullable(z.tuple([originSchema, spanMs])),
  z.array(originSchema),
  z.boolean(),
]);

export function encodeStreamMessage(message: StreamMessage): unknown[] {
  const { number } = message;
  switch (message.kind) {
    case 'stream-records':
      return [KINDS.streamRecords, number, message.records.map(encodeRecord)];
    case 'stream-records-stored':
      return [KINDS.streamRecordsStored, number];
    case 'stream-asked': {
      const { streamId, routeKey, lifeMs } = message;
      return [KINDS.streamAsked, number, streamId, routeKey, lifeMs];
    }
    case 'stream-answered': {
      const { zone, record, view } = message;
      const known =
        record === undefined ? null : [encodeOrigin(record.origin), Math.round(record.ageMs)];
      const origins = view.origins.map(encodeOrigin);
      return [KINDS.streamAnswered, number, zone, known, origins, view.isComplete];
    }
  }
}

export function decodeStreamRecords([, number, records]: z.infer<
  typeof streamRecordsSchema
>): StreamRecordsMessage {
  const decoded = records.map(([streamId, origin, ageMs, leftMs]) => ({
    streamId,
    origin: decodeOrigin(origin),
    ageMs,
    leftMs,
  }));
  return { kind: 'stream-records', number, records: decoded };
}

export function decodeStreamAsked([, number, streamId, routeKey, lifeMs]: z.infer<
  typeof streamAskedSchema
>): StreamAskedMessage {
  return { kind: 'stream-asked', number, streamId, routeKey, lifeMs };
}

export function decodeStreamAnswered([, number, zone, known, origins, isComplete]: z.infer<
  typeof streamAnsweredSchema
>): StreamAnsweredMessage {
  const record = known === null ? undefined : { origin: decodeOrigin(known[0]), ageMs: known[1] };
  const view = { origins: origins.map(decodeOrigin), isComplete };
  return { kind: 'stream-answered', number, zone, record, view };
}

function encodeRecord({ streamId, origin, ageMs, leftMs }: AgedStreamRecord): unknown[] {
  return [streamId, encodeOrigin(origin), Math.round(ageMs), Math.round(leftMs)];
}

function encodeOrigin({ service, softwareVersion }: StreamOrigin): [string, string] {
  return [service, softwareVersion];
}

function decodeOrigin([service, softwareVersion]: z.infer<typeof originSchema>): StreamOrigin {
  return { service, softwareVersion };
}
