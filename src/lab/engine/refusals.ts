/** Refusals of an emulated engine; each message states what to do instead. */
import type { EngineRefusal, RefusalCode } from './outputs.js';

/** A refusal before any work. */
export function refusal(code: RefusalCode, message: string): EngineRefusal {
  return { kind: 'refused', code, message };
}

/** The refusal when the waiting queue is full. */
export function refuseFull(retryAfterSeconds: number): EngineRefusal {
  return { ...refusal('engine-full', 'the waiting queue is full; try later'), retryAfterSeconds };
}
