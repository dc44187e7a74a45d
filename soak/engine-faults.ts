/** Injects the faults of engines that change how long requests take. */
import type { EngineFault } from './engine-fault.js';
import type { ModelServer } from './model-server.js';
import { pause } from './pause.js';

/** Injects a fault into engines; resolves once they are as before. */
export async function strikeEngines(
  engines: readonly ModelServer[],
  fault: EngineFault,
): Promise<void> {
  for (const engine of engines) begin(engine, fault);
  await pause(fault.forMs);
  for (const engine of engines) end(engine, fault);
}

function begin(engine: ModelServer, fault: EngineFault): void {
  switch (fault.kind) {
    case 'pace':
      engine.slowdown = fault.factor;
      return;
    case 'queue':
      engine.setQueue(fault.slots);
      return;
    case 'late-first-tokens':
      engine.firstTokenDelayMs = fault.delayMs;
      return;
  }
}

function end(engine: ModelServer, fault: EngineFault): void {
  switch (fault.kind) {
    case 'pace':
      engine.slowdown = 1;
      return;
    case 'queue':
      engine.setQueue(undefined);
      return;
    case 'late-first-tokens':
      engine.firstTokenDelayMs = 0;
      return;
  }
}
