/** The messages in which daemons ask one another for their clocks, and their wire form. */
import * as z from 'zod/mini';
import type { SendStamp } from '../../core/gateway/index.js';
import { KINDS } from './peer-message-fields.js';
import { decodeStamp, encodeStamp, stampSchema } from './send-stamp-fields.js';

/** A daemon asks another one for its clock; the answer goes back to the sender. */
export interface ClockQuestion {
  readonly kind: 'clock-asked';
  /** Of the daemon that asks, so that an answer to an earlier life is not taken for one to this. */
  readonly incarnation: number;
  /** On the clock of the daemon that asks. */
  readonly askedAtMs: number;
}

/** The answer repeats the question, and names the clock of the daemon that answers. */
export interface ClockAnswer {
  readonly kind: 'clock-answered';
  readonly incarnation: number;
  readonly askedAtMs: number;
  readonly stamp: SendStamp;
}

export type ClockMessage = ClockQuestion | ClockAnswer;

export const clockAskedSchema = z.tuple([z.literal(KINDS.clockAsked), z.number(), z.number()]);
export const clockAnsweredSchema = z.tuple([
  z.literal(KINDS.clockAnswered),
  z.number(),
  z.number(),
  stampSchema,
]);

export function encodeClockMessage(message: ClockMessage): unknown[] {
  const { incarnation, askedAtMs } = message;
  switch (message.kind) {
    case 'clock-asked':
      return [KINDS.clockAsked, incarnation, askedAtMs];
    case 'clock-answered':
      return [KINDS.clockAnswered, incarnation, askedAtMs, encodeStamp(message.stamp)];
  }
}

export function decodeClockAsked([, incarnation, askedAtMs]: z.infer<
  typeof clockAskedSchema
>): ClockQuestion {
  return { kind: 'clock-asked', incarnation, askedAtMs };
}

export function decodeClockAnswered([, incarnation, askedAtMs, stamp]: z.infer<
  typeof clockAnsweredSchema
>): ClockAnswer {
  return { kind: 'clock-answered', incarnation, askedAtMs, stamp: decodeStamp(stamp) };
}
