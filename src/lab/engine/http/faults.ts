/** Faults that tests arm on an emulated engine by `POST /faults`; each strikes once. */
import { z } from 'zod';

const count = z.int().min(0).max(1_000_000);
const time = z.int().min(0).max(3_600_000);

/** Faults of one answer. `afterTokens` counts the frames that this answer has sent before. */
const answerFaultSchema = z.discriminatedUnion('kind', [
  /** Sends nothing for a time, then all that has gathered. */
  z.strictObject({ kind: z.literal('stall'), afterTokens: count, forMs: time }),
  /** Sends a frame only after the one that follows it. */
  z.strictObject({ kind: z.literal('late-frame'), afterTokens: count }),
  /** Sends a frame twice. */
  z.strictObject({ kind: z.literal('repeated-frame'), afterTokens: count }),
  /** Sends a frame of another attempt before the right one. */
  z.strictObject({ kind: z.literal('foreign-frame'), afterTokens: count }),
  /** Ends the stream cleanly, but before `[DONE]`. */
  z.strictObject({ kind: z.literal('early-close'), afterTokens: count }),
  /** The process dies; it is back after `downMs` as a new boot. */
  z.strictObject({ kind: z.literal('crash-in-stream'), afterTokens: count, downMs: time }),
  /** A whole answer's `content-length` is wrong by so many bytes; then the connection closes. */
  z.strictObject({ kind: z.literal('wrong-length'), byBytes: z.int().min(-64).max(64) }),
]);

const orderFaultSchema = z.discriminatedUnion('kind', [
  /** The process dies half way through the next order that takes time. */
  z.strictObject({ kind: z.literal('crash-in-order'), downMs: time }),
  /** The next order that takes time ends as failed, without effect. */
  z.strictObject({ kind: z.literal('fail-order') }),
]);

/** The body of `POST /faults`. */
export const faultsSchema = z.strictObject({
  faults: z.array(z.union([answerFaultSchema, orderFaultSchema])).max(100),
  /** Whether those that are armed already are disarmed before. */
  replace: z.boolean().optional(),
});

/** A fault of one answer. */
export type AnswerFault = z.infer<typeof answerFaultSchema>;
/** A fault of one order. */
export type OrderFault = z.infer<typeof orderFaultSchema>;
/** A fault that can be armed. */
export type EngineFault = AnswerFault | OrderFault;

/** The armed faults, oldest first. */
export class FaultBoard {
  #answers: AnswerFault[] = [];
  #orders: OrderFault[] = [];

  /** Arms faults after those that are armed already. */
  arm(faults: readonly EngineFault[]): void {
    for (const fault of faults) {
      if (fault.kind === 'crash-in-order' || fault.kind === 'fail-order') this.#orders.push(fault);
      else this.#answers.push(fault);
    }
  }

  /** Gives back a fault whose answer ended before it struck: it is the next one again. */
  giveBack(fault: AnswerFault): void {
    this.#answers.unshift(fault);
  }

  /** Disarms all. */
  clear(): void {
    this.#answers = [];
    this.#orders = [];
  }

  /** Takes the next fault that fits a streamed or a whole answer. */
  takeForAnswer(streamed: boolean): AnswerFault | null {
    const place = this.#answers.findIndex((fault) => streamed !== (fault.kind === 'wrong-length'));
    return this.#answers.splice(place, place === -1 ? 0 : 1)[0] ?? null;
  }

  /** Takes the next fault of an order. */
  takeForOrder(): OrderFault | null {
    return this.#orders.shift() ?? null;
  }
}
