/** Steps of emulated engines in virtual time, each at the moment that its engine says. */
import type { EngineModel, EngineOutput } from '../src/lab/engine/index.js';
import type { VirtualClock } from '../src/lab/simulation/virtual-clock.js';

/** An engine whose steps are scheduled. */
export interface SteppedEngine {
  readonly model: EngineModel;
  /** The time its next step's end is scheduled for; -1 before the first. */
  scheduledFor: number;
}

/** Schedules an engine's next step, and from there on all that follow while it has work. */
export function scheduleSteps(
  clock: VirtualClock,
  engine: SteppedEngine,
  take: (output: EngineOutput) => void,
): void {
  const due = engine.model.nextDueAt();
  if (due === null || due === engine.scheduledFor) return;
  engine.scheduledFor = due;
  clock.at(due, () => {
    for (const output of engine.model.advance(clock.now)) take(output);
    scheduleSteps(clock, engine, take);
  });
}
