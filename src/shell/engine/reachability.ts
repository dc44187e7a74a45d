/** Logs when an engine stops answering polls and when it reports again: one line for each change, not for each poll. */
import type { BackendName } from '../../core/common/identifiers.js';
import { ENGINE_EVENTS } from '../../core/logging/catalogue/engine.js';
import { type LogEffect, log } from '../../core/logging/log-event.js';

/** How a poll of an engine ended. */
export type PollOutcome =
  | { readonly kind: 'reported' }
  | { readonly kind: 'silent'; readonly reason: string }
  /** Another engine answered at the address of the polled one. */
  | { readonly kind: 'other-engine'; readonly answeredBy: BackendName };

/** Tracks which engines do not report, and why. */
export class EngineReachability {
  readonly #silent = new Map<BackendName, Exclude<PollOutcome['kind'], 'reported'>>();

  /** Records the outcome of a poll; returns the line to log, or null if the state has not changed. */
  recordPoll(engine: BackendName, outcome: PollOutcome): LogEffect | null {
    const previous = this.#silent.get(engine) ?? 'reported';
    if (previous === outcome.kind) return null;
    if (outcome.kind === 'reported') this.#silent.delete(engine);
    else this.#silent.set(engine, outcome.kind);
    return logLineOf(engine, outcome);
  }

  /** Removes the state of engines that are no longer listed. */
  retain(isListed: (engine: BackendName) => boolean): void {
    for (const engine of this.#silent.keys()) {
      if (!isListed(engine)) this.#silent.delete(engine);
    }
  }
}

function logLineOf(engine: BackendName, outcome: PollOutcome): LogEffect {
  switch (outcome.kind) {
    case 'reported':
      return log(ENGINE_EVENTS.reachable, { engine });
    case 'silent':
      return log(ENGINE_EVENTS.unreachable, { engine, reason: outcome.reason });
    case 'other-engine':
      return log(ENGINE_EVENTS.otherEngine, { engine, answeredBy: outcome.answeredBy });
  }
}
