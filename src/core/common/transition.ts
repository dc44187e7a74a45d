/**
 * The shape of every reducer in the core: `step(state, event, context) -> Transition`.
 */
import type { MonotonicMs } from './time.js';

/** The input of a reducer besides its state and the event. */
export interface StepContext {
  /** The process's monotonic clock when the event was observed. */
  readonly now: MonotonicMs;
  /** A fresh random unsigned 32-bit number, drawn by the shell (or by a seeded generator). */
  readonly entropy: number;
}

/** The outcome of one step: the next state and the effects that the shell must carry out, in order. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A transition that changes nothing. */
export function unchanged<State, Effect>(state: State): Transition<State, Effect> {
  return { state, effects: [] };
}
