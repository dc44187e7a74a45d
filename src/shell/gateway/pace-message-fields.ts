/** The wire form of engine paces. */
import * as z from 'zod/mini';
import type { LineSums, PaceSums, ServicePaceSums } from '../../core/gateway/index.js';
import { KINDS } from './peer-message-fields.js';

/** What a message of paces is for. */
export type PacePurpose =
  /** Observations since the last message; the receiver adds them up. */
  | 'seen'
  /** What the sender knows; replaces what the receiver knows from less evidence. */
  | 'known'
  /** Queries all that the receiver knows. */
  | 'asked'
  /** The answer to a query; replaces what the receiver knows from less evidence. */
  | 'answered';

/** A message of paces. */
export interface PaceMessage {
  readonly daemon: string;
  readonly zone: string;
  readonly purpose: PacePurpose;
  readonly services: readonly ServicePaceSums[];
}

/** Logarithms are sent in thousandths and weights in tenths, as integers take few bytes. */
const LOG_UNITS = 1_000;
const WEIGHT_UNITS = 10;

/** Any number, even an invalid one: the code that applies paces rejects and counts those. */
const figure = z.custom<number>((value) => typeof value === 'number');
/** Weight, and the weighted means of tokens, milliseconds, squares of tokens, and products of both. */
const lineSchema = z.tuple([figure, figure, figure, figure, figure]);
/** Engine, mean logarithm of its pace, weight. */
const paceSchema = z.tuple([z.string(), figure, figure]);
export const pacesSchema = z.tuple([
  z.literal(KINDS.paces),
  z.string(),
  z.string(),
  z.enum(['seen', 'known', 'asked', 'answered']),
  z.array(z.tuple([z.string(), z.nullable(lineSchema), z.array(paceSchema)])),
]);

export function encodePaces({ daemon, zone, purpose, services }: PaceMessage): unknown[] {
  const encoded = services.map(({ service, line, engines }) => [
    service,
    line === undefined ? null : encodeLine(line),
    engines.map(encodePace),
  ]);
  return [KINDS.paces, daemon, zone, purpose, encoded];
}

export function decodePaces(fields: z.infer<typeof pacesSchema>): PaceMessage {
  const [, daemon, zone, purpose, services] = fields;
  const decoded = services.map(([service, line, engines]) => ({
    service,
    line: line === null ? undefined : decodeLine(line),
    engines: engines.map(decodePace),
  }));
  return { daemon, zone, purpose, services: decoded };
}

function encodeLine({ weight, x, y, xx, xy }: LineSums): number[] {
  return [weight, x / weight, y / weight, xx / weight, xy / weight];
}

function decodeLine([weight, x, y, xx, xy]: z.infer<typeof lineSchema>): LineSums {
  return { weight, x: x * weight, y: y * weight, xx: xx * weight, xy: xy * weight };
}

function encodePace({ engineId, logPace, weight }: PaceSums): unknown[] {
  return [engineId, Math.round(logPace * LOG_UNITS), Math.ceil(weight * WEIGHT_UNITS)];
}

function decodePace([engineId, log, weight]: z.infer<typeof paceSchema>): PaceSums {
  return { engineId, logPace: log / LOG_UNITS, weight: weight / WEIGHT_UNITS };
}
