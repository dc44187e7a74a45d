/** Faults that tests arm on an emulated engine by `POST /faults`; each is injected once. */
import { z } from 'zod';

const count = z.int().min(0).max(1_000_000);
const time = z.int().min(0).max(3_600_000);

/** Faults of one answer, injected after the answer has sent `afterTokens` token frames. */
const answerFaultSchema = z.discriminatedUnion('kind', [
  /** Sends nothing for `forMs`, then all frames held back. */
  z.strictObject({ kind: z.literal('stall'), afterTokens: count, forMs: time }),
  /** Sends a frame after its successor. */
  z.strictObject({ kind: z.literal('late-frame'), afterTokens: count }),
  /** Sends a frame twice. */
  z.strictObject({ kind: z.literal('repeated-frame'), afterTokens: count }),
  /** Sends a frame of another attempt before the correct frame. */
  z.strictObject({ kind: z.literal('foreign-frame'), afterTokens: count }),
  /** Ends the stream cleanly, but before `[DONE]`. */
  z.strictObject({ kind: z.literal('early-close'), afterTokens: count }),
  /** Crashes the process, which restarts after `downMs` as a new boot. */
  z.strictObject({ kind: z.literal('crash-in-stream'), afterTokens: count, downMs: time }),
  /** Makes a non-streamed answer's `content-length` wrong by `byBytes`, then closes the connection. */
  z.strictObject({ kind: z.literal('wrong-length'), byBytes: z.int().min(-64).max(64) }),
]);

const orderFaultSchema = z.discriminatedUnion('kind', [
  /** Crashes the process halfway through the next order that takes time. */
  z.strictObject({ kind: z.literal('crash-in-order'), downMs: time }),
  /** Makes the next order that takes time fail without effect. */
  z.strictObject({ kind: z.literal('fail-order') }),
]);

/** The body of `POST /faults`. */
export const faultsSchema = z.strictObject({
  faults: z.array(z.union([answerFaultSchema, orderFaultSchema])).max(100),
  /** Whether to disarm the faults already armed first. */
  replace: z.boolean().optional(),
});

/** A fault of one answer. */
export type AnswerFault = z.infer<typeof answerFaultSchema>;
/** A fault of one order. */
export type OrderFault = z.infer<typeof orderFaultSchema>;
/** A fault that can be armed. */
export type EngineFault = AnswerFault | OrderFault;

/** The armed faults, oldest first. */
export class ArmedFaults {
  #answers: AnswerFault[] = [];
  #orders: OrderFault[] = [];

  /** Arms faults after those already armed. */
  arm(faults: readonly EngineFault[]): void {
    for (const fault of faults) {
      if (fault.kind === 'crash-in-order' || fault.kind === 'fail-order') this.#orders.push(fault);
      else this.#answers.push(fault);
    }
  }

  /** Puts a fault back at the front because its answer ended before the fault was injected. */
  rearm(fault: AnswerFault): void {
    this.#answers.unshift(fault);
  }

  /** Disarms all faults. */
  clear(): void {
    this.#answers = [];
    this.#orders = [];
  }

  /** Removes and returns the next fault for a streamed or a non-streamed answer. */
  takeForAnswer(streamed: boolean): AnswerFault | null {
    const place = this.#answers.findIndex((fault) => streamed !== (fault.kind === 'wrong-length'));
    return this.#answers.splice(place, place === -1 ? 0 : 1)[0] ?? null;
  }

  /** Removes and returns the next order fault. */
  takeForOrder(): OrderFault | null {
    return this.#orders.shift() ?? null;
  }
}
