/** The clock of its sender that a message names, as its last item, and the wire form. */
import * as z from 'zod/mini';
import type { SendStamp } from '../../core/gateway/index.js';

/** Daemon, incarnation, clock. */
export const stampSchema = z.tuple([z.string(), z.number(), z.number()]);
/** Daemons of earlier releases omit it. */
export const optionalStampSchema = z.optional(stampSchema);
type EncodedStamp = z.infer<typeof stampSchema>;

export function encodeStamp({ daemon, incarnation, clockMs }: SendStamp): EncodedStamp {
  return [daemon, incarnation, clockMs];
}

export function decodeStamp([daemon, incarnation, clockMs]: EncodedStamp): SendStamp {
  return { daemon, incarnation, clockMs };
}

/** The last item of a message, or none. */
export function encodeOptionalStamp(stamp: SendStamp | undefined): readonly EncodedStamp[] {
  return stamp === undefined ? [] : [encodeStamp(stamp)];
}

export function decodeOptionalStamp(encoded: EncodedStamp | undefined): {
  readonly stamp?: SendStamp;
} {
  return encoded === undefined ? {} : { stamp: decodeStamp(encoded) };
}
