/** The reports of a daemon whose departures a test does not look at. */

import { DepartureReports } from '../../../src/shell/gateway/departure-reports.js';
import type { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../../src/shell/gateway/gateway-metrics.js';
import type { TimerService } from '../../../src/shell/gateway/timer-service.js';

/** Reports that are logged nowhere. */
export function quietDepartureReports(fleet: FleetView, timers: TimerService): DepartureReports {
  return new DepartureReports({
    build: 'test',
    drainMs: undefined,
    fleet,
    relayName: () => undefined,
    timers,
    metrics: new GatewayMetrics(),
    log: { write: () => undefined },
  });
}
