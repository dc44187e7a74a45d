/** Schedules the steps of emulated engines in virtual time. */
import type { EngineModel, EngineOutput } from '../src/lab/engine/index.js';
import type { VirtualClock } from '../src/lab/simulation/virtual-clock.js';

/** An engine with its next scheduled step. */
export interface SteppedEngine {
  readonly model: EngineModel;
  /** The end time of its next scheduled step; -1 before the first. */
  scheduledFor: number;
}

/** Schedules an engine's next step and, after it, each following step while the engine has work. */
export function scheduleSteps(
  clock: VirtualClock,
  engine: SteppedEngine,
  onOutput: (output: EngineOutput) => void,
): void {
  const due = engine.model.nextDueAt();
  if (due === null || due === engine.scheduledFor) return;
  engine.scheduledFor = due;
  clock.scheduleAt(due, () => {
    for (const output of engine.model.advance(clock.now)) onOutput(output);
    scheduleSteps(clock, engine, onOutput);
  });
}
