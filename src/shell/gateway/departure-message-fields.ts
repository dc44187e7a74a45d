/** The message in which a daemon that has read departures of servers from the store tells others, and its wire form. */
import * as z from 'zod/mini';
import type { SendStamp, ServerBoot } from '../../core/gateway/index.js';
import type { StorePosition } from '../../core/platform/store-position.js';
import { KINDS } from './peer-message-fields.js';
import {
  decodeOptionalStamp,
  encodeOptionalStamp,
  optionalStampSchema,
} from './send-stamp-fields.js';

/** A departure as its reader tells it. */
export interface AdvertisedDeparture {
  readonly server: ServerBoot;
  readonly state: 'draining' | 'gone';
  /** The row changed at most this long before the message was sent; undefined if that is not known. */
  readonly changedWithinMs: number | undefined;
}

/** Departures that one answer of the store showed, with the position of that answer. */
export interface DeparturesMessage extends StorePosition {
  readonly kind: 'departures';
  readonly departures: readonly AdvertisedDeparture[];
  /** Absent where a daemon of an earlier release sent it. */
  readonly stamp?: SendStamp;
}

/** Server, service, address, start or null, software version or null, whether it is gone, age limit or null. */
const departureSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.nullable(z.number()),
  z.nullable(z.string()),
  z.boolean(),
  z.nullable(z.number().check(z.nonnegative())),
]);

export const departuresSchema = z.tuple([
  z.literal(KINDS.departures),
  z.number(),
  z.number(),
  z.array(departureSchema),
  optionalStampSchema,
]);

export function encodeDepartures(message: DeparturesMessage): unknown[] {
  const { era, revision, departures, stamp } = message;
  const head = [KINDS.departures, era, revision];
  return [...head, departures.map(encodeDeparture), ...encodeOptionalStamp(stamp)];
}

function encodeDeparture({ server, state, changedWithinMs }: AdvertisedDeparture): unknown[] {
  const { id, service, address, bornMs, softwareVersion } = server;
  const boot = [id, service, address, bornMs ?? null, softwareVersion ?? null];
  return [...boot, state === 'gone', changedWithinMs ?? null];
}

export function decodeDepartures([, era, revision, encoded, stamp]: z.infer<
  typeof departuresSchema
>): DeparturesMessage {
  const departures = encoded.map(decodeDeparture);
  return { kind: 'departures', era, revision, departures, ...decodeOptionalStamp(stamp) };
}

function decodeDeparture([
  id,
  service,
  address,
  bornMs,
  softwareVersion,
  isGone,
  changedWithinMs,
]: z.infer<typeof departureSchema>): AdvertisedDeparture {
  const boot = { bornMs: bornMs ?? undefined, softwareVersion: softwareVersion ?? undefined };
  return {
    server: { id, service, address, ...boot },
    state: isGone ? 'gone' : 'draining',
    changedWithinMs: changedWithinMs ?? undefined,
  };
}
