/** Logs when an engine falls silent and when it reports again: one line a change, not one a poll. */
import type { BackendName } from '../../core/common/identifiers.js';
import { ENGINE_EVENTS } from '../../core/logging/catalogue/engine.js';
import { type LogEffect, log } from '../../core/logging/log-event.js';

/** How a poll of an engine ended. */
export type PollOutcome =
  | { readonly kind: 'reported' }
  | { readonly kind: 'silent'; readonly reason: string }
  /** Another engine answered at the address. */
  | { readonly kind: 'other-engine'; readonly answeredBy: BackendName };

/** Remembers which engines are silent. */
export class EngineReachability {
  readonly #silent = new Map<BackendName, Exclude<PollOutcome['kind'], 'reported'>>();

  /** Takes in a poll; the line to log, or null when nothing has changed. */
  recordPoll(engine: BackendName, outcome: PollOutcome): LogEffect | null {
    const before = this.#silent.get(engine) ?? 'reported';
    if (before === outcome.kind) return null;
    if (outcome.kind === 'reported') this.#silent.delete(engine);
    else this.#silent.set(engine, outcome.kind);
    return lineOf(engine, outcome);
  }

  /** Forgets the engines that are not listed any more. */
  retain(isListed: (engine: BackendName) => boolean): void {
    for (const engine of this.#silent.keys()) {
      if (!isListed(engine)) this.#silent.delete(engine);
    }
  }
}

function lineOf(engine: BackendName, outcome: PollOutcome): LogEffect {
  switch (outcome.kind) {
    case 'reported':
      return log(ENGINE_EVENTS.reachable, { engine });
    case 'silent':
      return log(ENGINE_EVENTS.unreachable, { engine, reason: outcome.reason });
    case 'other-engine':
      return log(ENGINE_EVENTS.otherEngine, { engine, answeredBy: outcome.answeredBy });
  }
}
