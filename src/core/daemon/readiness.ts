/** Whether load balancers and callers should send requests to a daemon. */
import type { DaemonState } from './state.js';

/** The answer of `/readyz`. */
export interface DaemonReadiness {
  readonly ready: boolean;
  /** Empty when ready. */
  readonly reason: string;
}

/** Whether the daemon can serve callers and, if not, what is missing. */
export function readinessOf(state: DaemonState): DaemonReadiness {
  const reason = notReadyReason(state);
  return { ready: reason === '', reason };
}

function notReadyReason(state: DaemonState): string {
  const { configuration, stopping } = state;
  if (stopping) return 'the daemon is stopping';
  if (!configuration.ready) return 'no confirmed configuration is in force yet';
  if ((configuration.inForce?.version ?? 0) === 0) {
    return 'no operator has stated a configuration yet';
  }
  if (!state.machinesListed) return 'the machine list has not been read yet';
  return hasEngineReport(state) ? '' : 'no engine has reported yet';
}

/** Reports are kept when engines stop answering, so that readiness does not flap. */
function hasEngineReport({ machines, digest }: DaemonState): boolean {
  if (!machines.some((machine) => machine.kind === 'engine')) return true;
  return [...digest.views.values()].some((view) => view.report !== null);
}
