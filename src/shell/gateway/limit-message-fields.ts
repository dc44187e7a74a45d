/** Messages between daemons on servers that name a limit of requests a second, and their wire form. */
import * as z from 'zod/mini';
import type { AdvertisedLimit } from '../../core/gateway/index.js';
import { KINDS } from './peer-message-fields.js';

/** A number of requests that were sent `ageMs` milliseconds ago. */
export interface AgedCount {
  readonly ageMs: number;
  readonly count: number;
}

/** A daemon requests permits from the granter, advertises what it knows of the limit, or both. */
export interface PermitRequestMessage {
  readonly kind: 'limit-ask';
  readonly daemon: string;
  /** Repeated in the answer. */
  readonly number: number;
  readonly serverId: string;
  /** Undefined where the sender knows nothing of the limit. */
  readonly limit: AdvertisedLimit | undefined;
  /** For how long the sender has known of the limit. */
  readonly knownForMs: number;
  readonly wanted: number;
  readonly returned: number;
  readonly unmetered: readonly AgedCount[];
}

/** The answer: the number of permits, and what the granter knows of the limit. */
export interface PermitGrantMessage {
  readonly kind: 'limit-grant';
  readonly daemon: string;
  readonly number: number;
  readonly serverId: string;
  /** Undefined where the sender knows nothing of the limit. */
  readonly limit: AdvertisedLimit | undefined;
  readonly granted: number;
  readonly roomInMs: number;
  readonly requesters: number;
}

/** The granter broadcasts that a limit began, changed or ended. */
export interface LimitUpdateMessage {
  readonly kind: 'limit-told';
  readonly daemon: string;
  readonly serverId: string;
  readonly limit: AdvertisedLimit;
}

/** A message on limits. */
export type LimitMessage = PermitRequestMessage | PermitGrantMessage | LimitUpdateMessage;

/** A finite number that is not negative; any other value makes a message unreadable. */
const amount = z.number().check(z.nonnegative());
const count = z.int().check(z.nonnegative());
/** Requests a second, null where the limit has ended; milliseconds since the server reported that. */
const limitSchema = z.tuple([z.nullable(amount), amount]);
const knownLimitSchema = z.nullable(limitSchema);

/** Daemon, number, server, limit or null, milliseconds that it is known, wanted, returned, sent without permits by age. */
export const permitRequestSchema = z.tuple([
  z.literal(KINDS.limitAsk),
  z.string(),
  count,
  z.string(),
  knownLimitSchema,
  amount,
  count,
  count,
  z.array(z.tuple([amount, count])),
]);

/** Daemon, number, server, limit or null, granted, milliseconds until there is capacity, requesting daemons. */
export const permitGrantSchema = z.tuple([
  z.literal(KINDS.limitGrant),
  z.string(),
  count,
  z.string(),
  knownLimitSchema,
  count,
  amount,
  count,
]);

/** Daemon, server, limit. */
export const limitUpdateSchema = z.tuple([
  z.literal(KINDS.limitTold),
  z.string(),
  z.string(),
  limitSchema,
]);

export function encodeLimitMessage(message: LimitMessage): unknown[] {
  const { daemon, serverId } = message;
  const limit = message.limit === undefined ? null : encodeLimit(message.limit);
  switch (message.kind) {
    case 'limit-ask': {
      const { number, knownForMs, wanted, returned, unmetered } = message;
      const sent = unmetered.map(({ ageMs, count }) => [Math.round(ageMs), count]);
      const head = [KINDS.limitAsk, daemon, number, serverId, limit, Math.round(knownForMs)];
      return [...head, wanted, returned, sent];
    }
    case 'limit-grant': {
      const { number, granted, roomInMs, requesters } = message;
      const head = [KINDS.limitGrant, daemon, number, serverId, limit];
      return [...head, granted, Math.ceil(roomInMs), requesters];
    }
    case 'limit-told':
      return [KINDS.limitTold, daemon, serverId, limit];
  }
}

export function decodePermitRequest(
  fields: z.infer<typeof permitRequestSchema>,
): PermitRequestMessage {
  const [, daemon, number, serverId, limit, knownForMs, wanted, returned, sent] = fields;
  const unmetered = sent.map(([ageMs, count]) => ({ ageMs, count }));
  const common = { daemon, number, serverId, limit: decodeKnownLimit(limit) };
  return { kind: 'limit-ask', ...common, knownForMs, wanted, returned, unmetered };
}

export function decodePermitGrant(fields: z.infer<typeof permitGrantSchema>): PermitGrantMessage {
  const [, daemon, number, serverId, limit, granted, roomInMs, requesters] = fields;
  const common = { daemon, number, serverId, limit: decodeKnownLimit(limit) };
  return { kind: 'limit-grant', ...common, granted, roomInMs, requesters };
}

export function decodeLimitUpdate(fields: z.infer<typeof limitUpdateSchema>): LimitUpdateMessage {
  const [, daemon, serverId, limit] = fields;
  return { kind: 'limit-told', daemon, serverId, limit: decodeLimit(limit) };
}

function encodeLimit({ perSecond, reportedAgoMs }: AdvertisedLimit): unknown[] {
  return [perSecond ?? null, Math.round(reportedAgoMs)];
}

function decodeKnownLimit(limit: z.infer<typeof knownLimitSchema>): AdvertisedLimit | undefined {
  return limit === null ? undefined : decodeLimit(limit);
}

function decodeLimit([perSecond, reportedAgoMs]: z.infer<typeof limitSchema>): AdvertisedLimit {
  return { perSecond: perSecond ?? undefined, reportedAgoMs };
}
