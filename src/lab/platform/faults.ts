/** Deterministic faults of the platform's services, set by the admin call `POST /faults`. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { z } from 'zod';

/** Selects the calls of a service that are lost. */
const lossSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  /** The next `calls` calls. */
  z.strictObject({ kind: z.literal('next'), calls: z.int().positive() }),
  /** Every nth call, counted from when the fault was set. */
  z.strictObject({ kind: z.literal('every'), nth: z.int().positive() }),
  /** Each call with a probability, from a generator with the given seed. */
  z.strictObject({
    kind: z.literal('random'),
    probability: z.number().min(0).max(1),
    seed: z.int(),
  }),
]);

const delay = z.int().min(0).max(600_000);

/** The faults of one service. An admin call leaves faults unchanged whose keys are absent. */
const serviceFaultsSchema = z.strictObject({
  /** Answers 503 without applying the call. */
  down: z.boolean(),
  /** Milliseconds before a call takes effect. */
  slowMs: delay,
  /** Milliseconds between a call's effect and its answer. */
  slowAnswerMs: delay,
  /** Calls whose connection breaks before they take effect. */
  loseCalls: lossSchema,
  /** Calls that take effect and whose answer is lost. */
  loseAnswers: lossSchema,
  /** Applies losses to writing calls only, so that reads still succeed. */
  writesOnly: z.boolean(),
});

/** The services, each with its own faults. */
export const SERVICES = ['table', 'objects', 'weights', 'machines'] as const;
/** One of the platform's services. */
export type Service = (typeof SERVICES)[number];
/** The faults of one service. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;
type Loss = z.infer<typeof lossSchema>;

const partial = serviceFaultsSchema.partial().optional();

/** The body of `POST /faults`. */
export const faultsRequestSchema = z.strictObject({
  table: partial,
  objects: partial,
  weights: partial,
  machines: partial,
  /** The replication lag of the machine list, in milliseconds. */
  machineLagMs: delay.optional(),
});
/** A change of the faults. */
export type FaultsRequest = z.infer<typeof faultsRequestSchema>;

/** No faults. */
export const NO_FAULTS: ServiceFaults = {
  down: false,
  slowMs: 0,
  slowAnswerMs: 0,
  loseCalls: { kind: 'none' },
  loseAnswers: { kind: 'none' },
  writesOnly: false,
};

/** Decides for each call in sequence whether it is lost. */
export class LossSource {
  private calls = 0;
  private readonly random: RandomGenerator;

  constructor(private readonly loss: Loss) {
    this.random = xoroshiro128plus(loss.kind === 'random' ? loss.seed : 0);
  }

  /** Counts one call and returns whether it is lost. */
  isNextLost(): boolean {
    this.calls += 1;
    switch (this.loss.kind) {
      case 'none':
        return false;
      case 'next':
        return this.calls <= this.loss.calls;
      case 'every':
        return this.calls % this.loss.nth === 0;
      case 'random':
        return uniformFloat64(this.random) < this.loss.probability;
    }
  }
}
