/** Benchmark of planning a model request with 820 engines, without and with spread and engine paces. */
import {
  type EngineChoiceInput,
  type EngineLoad,
  type EngineWork,
  planModelRequest,
  type ServerRecord,
  type ServicePaceSums,
  type UnseenWork,
} from '../src/core/gateway/index.js';
import { FleetView } from '../src/shell/gateway/fleet-view.js';
import { type OperationTimes, timeOperations } from './measure.js';

const ENGINES = 820;
const ZONES = 5;
const PLANS = 5_000;
const PARTS = 500;
const SERVICE = 'm';
const TARGET_MS = 600;
const PROMPT = { sharedTokens: 1_500, ownTokens: 1_200 };

/** One line of the result. */
export interface PlanTimes extends OperationTimes {
  readonly case: string;
  readonly engines: number;
}

/** Measures all cases. */
export function benchPlans(): PlanTimes[] {
  const byRate: UnseenWork = { kind: 'by-rate', prefillMs: 3_000, prompts: 60, shortPrompts: 5 };
  return [
    measure('sums alone', undefined),
    measure('spread by rate', byRate),
    measure('spread by daemons', { kind: 'by-daemons', daemons: 339 }),
    measure('spread by rate, paces unlike', byRate, [0.7, 0.7, 1.7]),
  ];
}

function measure(
  name: string,
  unseen: UnseenWork | undefined,
  paces: readonly number[] = [],
): PlanTimes {
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  const servers = Array.from({ length: ENGINES }, (_, place) => serverAt(place));
  fleet.directory.replaceAll(servers);
  fleet.speedOf(SERVICE).setInitialEstimate(7_000, TARGET_MS);
  if (paces.length > 0) fleet.paces.applyKnown([pacesOf(servers, paces)], 0);
  const head = { relay: 'r', incarnation: 1, sequence: 1, isComplete: true };
  const advertised = { work: servers.map(workAt), reads: [], demand: [], reach: [] };
  fleet.peerLoads.applySums({ ...head, ...advertised }, [], 0);
  for (let part = 0; part < PARTS; part += 1) {
    fleet.prefixIndex.confirm(idAt((part * 2) % ENGINES), `part-${part}`, PROMPT.sharedTokens);
  }
  let input = inputAt(0, fleet, servers, unseen);
  const between = (turn: number) => {
    input = inputAt(turn, fleet, servers, unseen);
  };
  const times = timeOperations(PLANS, () => planModelRequest(input), between);
  return { case: name, engines: ENGINES, ...times };
}

function inputAt(
  turn: number,
  fleet: FleetView,
  candidates: readonly ServerRecord[],
  unseen: UnseenWork | undefined,
): EngineChoiceInput {
  const { sharedTokens, ownTokens } = PROMPT;
  const promptParts = [
    { id: `part-${turn % PARTS}`, tokens: sharedTokens },
    { id: `own-${turn}`, tokens: ownTokens },
  ];
  const described = { attemptId: 'x', deadlineMs: 5_000, maxOutputTokens: 100 };
  const entropy = (turn % 997) / 997;
  return {
    candidates,
    excludedIds: new Set(),
    description: { ...described, promptParts, promptTokens: sharedTokens + ownTokens },
    zone: `zone-${turn % ZONES}`,
    nowMs: 50,
    prefixIndex: fleet.prefixIndex,
    peerLoads: fleet.peerLoads,
    speed: fleet.speedOf(SERVICE),
    paceOf: fleet.paces.pacesOf(SERVICE),
    quantizedPaceOf: fleet.paces.quantizedPacesOf(SERVICE),
    waitFactor: () => 1,
    latencyBudgetMs: TARGET_MS,
    shortReadsPerMs: 0,
    kvTokenBytes: 163_840,
    linkMbps: 1_600_000,
    healthOf: (id) => fleet.healthOf(id),
    loadOf: (id): EngineLoad => fleet.loadOf(id),
    spread: unseen === undefined ? undefined : { unseen, entropy },
  };
}

function pacesOf(servers: readonly ServerRecord[], paces: readonly number[]): ServicePaceSums {
  const engines = servers.map(({ id }, place) => ({
    engineId: id,
    logPace: Math.log(paces[place % paces.length] ?? 1),
    weight: 15,
  }));
  return { service: SERVICE, line: undefined, engines };
}

function idAt(place: number): string {
  return `engine-${place}`;
}

function serverAt(place: number): ServerRecord {
  return {
    id: idAt(place),
    service: SERVICE,
    address: '127.0.0.1:1',
    zone: `zone-${place % ZONES}`,
    slots: 64,
    state: 'ready',
    isSpot: false,
    stage: place % 2 === 0 ? 'prefill' : 'decode',
  };
}

function workAt({ id }: ServerRecord, place: number): EngineWork {
  return { engineId: id, pendingMs: (place * 37) % 300, lateMs: 0, running: place % 50 };
}
