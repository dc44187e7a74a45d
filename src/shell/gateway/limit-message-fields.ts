/** What daemons tell each other of servers that name a limit of requests a second, as it goes on the wire. */
import * as z from 'zod/mini';
import type { AdvertisedLimit } from '../../core/gateway/index.js';
import { KINDS } from './peer-message-fields.js';

/** Requests that were sent so long ago, in milliseconds. */
export interface AgedCount {
  readonly ageMs: number;
  readonly count: number;
}

/** A daemon asks the one that grants for permits, tells it what it knows, or both. */
export interface PermitRequestMessage {
  readonly kind: 'limit-ask';
  readonly daemon: string;
  /** The answer bears it. */
  readonly number: number;
  readonly serverId: string;
  /** Undefined where it knows nothing of it. */
  readonly limit: AdvertisedLimit | undefined;
  /** For how long it has known of the limit. */
  readonly knownForMs: number;
  readonly wanted: number;
  readonly returned: number;
  readonly unmetered: readonly AgedCount[];
}

/** The answer: what is granted, and what the granting daemon knows of the limit. */
export interface PermitGrantMessage {
  readonly kind: 'limit-grant';
  readonly daemon: string;
  readonly number: number;
  readonly serverId: string;
  /** Undefined where it knows nothing of it. */
  readonly limit: AdvertisedLimit | undefined;
  readonly granted: number;
  readonly roomInMs: number;
  readonly requesters: number;
}

/** The daemon that grants tells all others that a limit began, changed or ended. */
export interface LimitUpdateMessage {
  readonly kind: 'limit-told';
  readonly daemon: string;
  readonly serverId: string;
  readonly limit: AdvertisedLimit;
}

/** A message on limits. */
export type LimitMessage = PermitRequestMessage | PermitGrantMessage | LimitUpdateMessage;

/** A figure that can be counted with: what is no such thing makes a message unreadable. */
const amount = z.number().check(z.nonnegative());
const count = z.int().check(z.nonnegative());
/** Requests a second, null where there is no limit any more; the age of that, in milliseconds. */
const limitSchema = z.tuple([z.nullable(amount), amount]);
const knownLimitSchema = z.nullable(limitSchema);

/** Daemon, number, server, limit or null, for how long it is known, wanted, returned, sent before by age. */
export const limitAskSchema = z.tuple([
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

/** Daemon, number, server, limit or null, granted, milliseconds until there is room, daemons that ask. */
export const limitGrantSchema = z.tuple([
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
export const limitToldSchema = z.tuple([
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

export function decodeLimitAsk(fields: z.infer<typeof limitAskSchema>): PermitRequestMessage {
  const [, daemon, number, serverId, limit, knownForMs, wanted, returned, sent] = fields;
  const unmetered = sent.map(([ageMs, count]) => ({ ageMs, count }));
  const told = { daemon, number, serverId, limit: decodeKnownLimit(limit) };
  return { kind: 'limit-ask', ...told, knownForMs, wanted, returned, unmetered };
}

export function decodeLimitGrant(fields: z.infer<typeof limitGrantSchema>): PermitGrantMessage {
  const [, daemon, number, serverId, limit, granted, roomInMs, requesters] = fields;
  const told = { daemon, number, serverId, limit: decodeKnownLimit(limit) };
  return { kind: 'limit-grant', ...told, granted, roomInMs, requesters };
}

export function decodeLimitTold(fields: z.infer<typeof limitToldSchema>): LimitUpdateMessage {
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
