/** What a request to a web service asks of the waiting room. */
import { placeWebRequest } from '../../core/gateway/index.js';
import { type AdmissionCheck, roundedOrNull } from './admission-check.js';
import type { AttemptContext } from './attempt.js';
import type { Exchange } from './exchange.js';

/** Requests to web servers cost alike: the time that one takes is not known beforehand. */
const WEB_COST_MS = 1;

/** The ask of a request that is to be sent to one of its service's servers. */
export function webAdmissionCheck(exchange: Exchange, { fleet }: AttemptContext): AdmissionCheck {
  const { service, route, timers } = exchange.options;
  const others = (id: string) => fleet.peerLoads.running(id, timers.nowMs());
  return {
    lane: service,
    costMs: WEB_COST_MS,
    spacingMs: 0,
    isSentAtHoldLimit: true,
    place: () =>
      placeWebRequest({
        candidates: fleet.candidates(service, timers.nowMs()),
        excludedIds: exchange.triedServerIds,
        nowMs: timers.nowMs(),
        latencyBudgetMs: route.targetLatencyMs,
        elapsedMs: exchange.elapsedMs(),
        mayHaveRun: exchange.mayHaveRun,
        healthOf: (id) => fleet.healthOf(id),
        othersRunning: others,
      }),
    inputs: () => {
      const nowMs = timers.nowMs();
      const servers = fleet.candidates(service, nowMs);
      const sumsAgeMs = fleet.peerLoads.newestAgeMs(nowMs);
      return {
        servers: servers.length,
        running: servers.reduce(
          (sum, { id }) => sum + fleet.healthOf(id).openCalls + others(id),
          0,
        ),
        slots: servers.reduce((sum, { slots }) => sum + slots, 0),
        sumsAgeMs: roundedOrNull(sumsAgeMs),
      };
    },
    // What is begun is counted at once by the call itself.
    reserve: () => () => undefined,
  };
}
