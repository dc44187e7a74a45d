/** The admission check of a request to a web service. */
import { placeWebRequest } from '../../core/gateway/index.js';
import { type AdmissionCheck, roundedOrNull } from './admission-check.js';
import type { AttemptContext } from './attempt.js';
import type { Exchange } from './exchange.js';

/** All web requests count the same, as the time that one takes is not known in advance. */
const WEB_COST_MS = 1;

/** Checks whether one of the service's servers is expected to have a free slot. */
export function webAdmissionCheck(exchange: Exchange, { fleet }: AttemptContext): AdmissionCheck {
  const { service, route, timers } = exchange.options;
  const runningElsewhere = (id: string) => fleet.peerLoads.running(id, timers.nowMs());
  return {
    lane: service,
    costMs: WEB_COST_MS,
    spacingMs: 0,
    isSentAtHoldLimit: true,
    decide: () =>
      placeWebRequest({
        candidates: fleet.candidates(service, timers.nowMs()),
        excludedIds: exchange.triedServerIds,
        nowMs: timers.nowMs(),
        latencyBudgetMs: route.targetLatencyMs,
        elapsedMs: exchange.elapsedMs(),
        mayHaveRun: exchange.mayHaveRun,
        healthOf: (id) => fleet.healthOf(id),
        othersRunning: runningElsewhere,
      }),
    inputs: () => {
      const nowMs = timers.nowMs();
      const servers = fleet.candidates(service, nowMs);
      const sumsAgeMs = fleet.peerLoads.newestAgeMs(nowMs);
      return {
        servers: servers.length,
        running: servers.reduce(
          (sum, { id }) => sum + fleet.healthOf(id).openCalls + runningElsewhere(id),
          0,
        ),
        slots: servers.reduce((sum, { slots }) => sum + slots, 0),
        sumsAgeMs: roundedOrNull(sumsAgeMs),
      };
    },
    // No reservation is needed: the call counts as running as soon as it is sent.
    reserve: () => () => undefined,
  };
}
