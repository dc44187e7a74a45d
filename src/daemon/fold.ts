/**
 * The event loop of a daemon: every input is an event on one stream, the reducer `step` folds it into
 * the state, and the effects that `step` returns are carried out. Built on `most`, so that the same
 * reducer can be driven by live I/O, by a recorded stream or by the simulation's virtual time.
 */

import { randomBytes } from 'node:crypto';
import { EventEmitter } from 'node:events';
import { performance } from 'node:perf_hooks';
import { fromEvent, type Stream } from 'most';
import type { StepContext, Transition } from '../core/common/transition.js';

/** An event with the time and the random number that the reducer uses for it. */
export interface StampedEvent<Event> {
  readonly event: Event;
  readonly context: StepContext;
}

/** A reducer: computes the next state and the effects of one event. */
export type Step<State, Event, Effect> = (
  state: State,
  event: Event,
  context: StepContext,
) => Transition<State, Effect>;

const EVENT_NAME = 'event';
const RANDOM_POOL_BYTES = 4096;
const DRAW_BYTES = 4;

/** Draws unsigned 32-bit numbers from a pool of random bytes, refilled as it runs out. */
function createEntropySource(): () => number {
  let pool = randomBytes(RANDOM_POOL_BYTES);
  let offset = 0;
  return () => {
    if (offset + DRAW_BYTES > pool.length) {
      pool = randomBytes(RANDOM_POOL_BYTES);
      offset = 0;
    }
    const draw = pool.readUInt32LE(offset);
    offset += DRAW_BYTES;
    return draw;
  };
}

/** The single event stream that all I/O components of a daemon emit to. */
export class EventSource<Event> {
  readonly #emitter = new EventEmitter();
  readonly #entropy = createEntropySource();

  /** Emits an event, stamped with the monotonic time and a random number. */
  emit(event: Event): void {
    const context: StepContext = { now: performance.now(), entropy: this.#entropy() };
    this.#emitter.emit(EVENT_NAME, { event, context } satisfies StampedEvent<Event>);
  }

  /** The events emitted after this call. */
  stream(): Stream<StampedEvent<Event>> {
    return fromEvent<StampedEvent<Event>>(EVENT_NAME, this.#emitter);
  }
}

/**
 * Folds a stream of events through a reducer and hands each step's effects to `perform`, in order.
 * Settles when the stream ends; rejects when a reducer or `perform` throws, which is a defect.
 */
export function runFold<State, Event, Effect>(
  stream: Stream<StampedEvent<Event>>,
  step: Step<State, Event, Effect>,
  initial: State,
  perform: (effect: Effect) => void,
): Promise<void> {
  return stream
    .loop((state: State, stamped: StampedEvent<Event>) => {
      const transition = step(state, stamped.event, stamped.context);
      return { seed: transition.state, value: transition.effects };
    }, initial)
    .observe((effects) => {
      for (const effect of effects) {
        perform(effect);
      }
    });
}
