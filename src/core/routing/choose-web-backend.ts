/**
 * Chooses the backend of a web service. Eligible backends are live, pass their health check and are
 * neither drained nor ejected. Of two drawn at random, the one with fewer requests of this daemon
 * in flight is chosen; backends in the daemon's own zone are preferred.
 */
import type { BackendName, ZoneName } from '../common/identifiers.js';
import type { StepContext } from '../common/transition.js';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import type { WebMachine } from '../registry/backend.js';
import type { FleetIndex } from './fleet-index.js';
import type { OutlierTracker } from './outlier-tracker.js';
import type { OutstandingTable } from './outstanding-table.js';
import { RandomDraws } from './random-draws.js';

/** Requests in flight at the best local backend from which on other zones are considered. */
const SPILL_IN_FLIGHT = 16;

/** Why a web backend is not eligible for a request now. */
export type WebExclusionReason =
  | 'machine-leaving'
  | 'drained'
  | 'unhealthy'
  | 'excluded'
  | 'ejected';

/** The input of the choice of a web backend. */
export interface WebChoiceInput {
  readonly index: FleetIndex;
  readonly service: string;
  /** Backends that this request has already failed on. */
  readonly excluded: ReadonlySet<BackendName>;
  /** Backends whose last health check failed. */
  readonly unhealthy: ReadonlySet<BackendName>;
  readonly zone: ZoneName;
  readonly outstanding: OutstandingTable;
  readonly outliers: OutlierTracker;
  readonly context: StepContext;
}

/** The result of the choice of a web backend. */
export type WebDecision =
  | {
      readonly kind: 'chosen';
      readonly backend: BackendName;
      readonly address: string;
      readonly port: number;
      readonly candidateCount: number;
    }
  | { readonly kind: 'none'; readonly fault: Fault };

/** Chooses a web backend, or returns the reason why none is available. */
export function chooseWebBackend(input: WebChoiceInput): WebDecision {
  const backends = input.index.webBackends(input.service);
  const ejected = findEjectedBackends(input, backends);
  const eligible = backends.filter((machine) => exclusion(input, machine, ejected) === null);
  const candidates =
    eligible.length > 0
      ? eligible
      : backends.filter((machine) => isAllowedAsFallback(input, machine));
  const best = pickBackend(input, candidates);
  if (best === null) {
    return { kind: 'none', fault: noWebBackendFault(input, backends) };
  }
  return {
    kind: 'chosen',
    backend: best.name,
    address: best.address,
    port: best.port,
    candidateCount: eligible.length,
  };
}

/**
 * Whether a backend may be used when none is eligible. Ejected and unhealthy backends may; leaving
 * and drained ones, and those that this request failed on, may not.
 */
function isAllowedAsFallback(input: WebChoiceInput, machine: WebMachine): boolean {
  const reason = exclusion(input, machine, new Set());
  return reason === null || reason === 'unhealthy';
}

function exclusion(
  input: WebChoiceInput,
  machine: WebMachine,
  ejected: ReadonlySet<BackendName>,
): WebExclusionReason | null {
  if (machine.state !== 'live') {
    return 'machine-leaving';
  }
  if (input.index.configuration.backends[machine.name]?.drained === true) {
    return 'drained';
  }
  if (input.excluded.has(machine.name)) {
    return 'excluded';
  }
  if (input.unhealthy.has(machine.name)) {
    return 'unhealthy';
  }
  return ejected.has(machine.name) ? 'ejected' : null;
}

function findEjectedBackends(
  input: WebChoiceInput,
  backends: readonly WebMachine[],
): ReadonlySet<BackendName> {
  if (!input.outliers.hasEjections) {
    return new Set();
  }
  const names = new Set(backends.map((machine) => machine.name));
  return input.outliers.enforcedEjections(
    backends.length,
    (name) => names.has(name),
    input.context.now,
  );
}

function pickBackend(input: WebChoiceInput, backends: readonly WebMachine[]): WebMachine | null {
  const draws = new RandomDraws(input.context.entropy);
  const local = backends.filter((machine) => machine.zone === input.zone);
  const bestLocal = lessLoadedOfTwo(input, local, draws);
  if (bestLocal !== null && input.outstanding.inFlight(bestLocal.name) < SPILL_IN_FLIGHT) {
    return bestLocal;
  }
  const bestAnywhere = lessLoadedOfTwo(input, backends, draws);
  return bestAnywhere === null || bestLocal === null
    ? bestAnywhere
    : lessLoaded(input, bestLocal, bestAnywhere);
}

function lessLoadedOfTwo(
  input: WebChoiceInput,
  backends: readonly WebMachine[],
  draws: RandomDraws,
): WebMachine | null {
  const first = backends[draws.below(backends.length)];
  const second = backends[draws.below(backends.length)];
  return first === undefined || second === undefined ? null : lessLoaded(input, first, second);
}

function lessLoaded(input: WebChoiceInput, first: WebMachine, second: WebMachine): WebMachine {
  const difference =
    input.outstanding.inFlight(second.name) - input.outstanding.inFlight(first.name);
  return difference < 0 ? second : first;
}

function noWebBackendFault(input: WebChoiceInput, backends: readonly WebMachine[]): Fault {
  if (backends.length === 0) {
    return refusedNotRun(
      'no-backend',
      `No backend of service "${input.service}" is in the machine list. Start one, or retry after the time stated.`,
      { retryAfterMs: 5_000 },
    );
  }
  const reasons = backends.map((machine) => exclusion(input, machine, new Set()) ?? 'ejected');
  return refusedNotRun(
    'no-backend',
    `No backend of service "${input.service}" can take the request now: ${reasons.join(', ')}. Retry after the time stated.`,
    { retryAfterMs: 2_000 },
  );
}
