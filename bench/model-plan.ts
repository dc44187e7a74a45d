/** How long a plan of a model request takes with 820 engines, with one pace for all and with one for each. */
import {
  EngineLoad,
  FleetPaces,
  PeerLoads,
  PrefixKnowledge,
  planModelRequest,
  ReadSpeed,
  ServerHealth,
  type ServerRecord,
} from '../src/core/gateway/index.js';
import { type OperationTimes, timeOperations } from './measure.js';

const ENGINES = 820;
const ZONES = 5;
const PLANS = 4_000;
const PARTS = 200;
const SERVICE = 'labels';
const NOW_MS = 1_000;

/** One line of the result. */
export interface PlanTimes extends OperationTimes {
  readonly case: string;
  readonly engines: number;
}

/** Measures a fleet of equal engines without paces, with them, and one of unlike engines. */
export function benchModelPlan(): PlanTimes[] {
  return [
    measure('one pace for all', []),
    measure('paces, all alike', [1]),
    measure('paces, unlike', [0.7, 0.7, 1.7]),
  ];
}

function measure(name: string, paces: readonly number[]): PlanTimes {
  const engines = Array.from({ length: ENGINES }, (_, place) => engineAt(place));
  const speed = new ReadSpeed();
  speed.learnPrefill(9_000, 180);
  const services = new Map(engines.map(({ id, service }) => [id, service]));
  const fleetPaces = new FleetPaces({
    isOn: true,
    speedOf: () => speed,
    serviceOf: (id) => services.get(id),
  });
  const told = engines.map(({ id }, place) => ({
    engineId: id,
    logPace: Math.log(paces[place % paces.length] ?? 1),
    weight: 15,
  }));
  const known = { service: SERVICE, line: undefined, engines: told };
  if (paces.length > 0) fleetPaces.takeKnown([known], NOW_MS);
  const loads = new Map(engines.map(({ id }) => [id, new EngineLoad()]));
  const healths = new Map(engines.map(({ id }) => [id, new ServerHealth()]));
  const peerLoads = new PeerLoads();
  const work = engines
    .filter((_, place) => place % 2 === 0)
    .map(({ id }, place) => ({ engineId: id, pendingMs: place % 90, lateMs: 0, running: 5 }));
  const sums = { relay: 'r', incarnation: 1, sequence: 1, isWhole: true, work };
  peerLoads.takeSums({ ...sums, reads: [], reach: [], demand: [] }, [], NOW_MS);
  const knowledge = new PrefixKnowledge();
  engines.forEach(({ id }, place) => {
    knowledge.confirm(id, `part-${place % PARTS}`, 6_000);
  });
  const none = new Set<string>();
  const plan = (turn: number) =>
    planModelRequest({
      candidates: engines,
      excludedIds: none,
      description: {
        attemptId: 'x',
        deadlineMs: 5_000,
        promptParts: [
          { id: `part-${turn % (2 * PARTS)}`, tokens: 6_000 },
          { id: 'own', tokens: 3_000 },
        ],
        promptTokens: 9_000,
        maxOutputTokens: 100,
      },
      zone: 'zone-0',
      nowMs: NOW_MS,
      knowledge,
      speed,
      ...(paces.length > 0 ? pacesOf(fleetPaces) : {}),
      shortReadsPerMs: 0.01,
      waitFactor: () => 1,
      inTimeMs: 600,
      kvTokenBytes: 163_840,
      linkMbps: 1_900_000,
      healthOf: (id) => healths.get(id) ?? new ServerHealth(),
      peerLoads,
      loadOf: (id) => loads.get(id) ?? new EngineLoad(),
    });
  return { case: name, engines: ENGINES, ...timeOperations(PLANS, plan) };
}

function pacesOf(paces: FleetPaces) {
  return { paceOf: paces.pacesOf(SERVICE), homePaceOf: paces.homePacesOf(SERVICE) };
}

function engineAt(place: number): ServerRecord {
  return {
    id: `i-${place.toString(16).padStart(10, '0')}`,
    service: SERVICE,
    address: '127.0.0.1:1',
    zone: `zone-${place % ZONES}`,
    slots: 64,
    state: 'ready',
    isSpot: false,
    stage: place % 3 === 0 ? 'decode' : 'prefill',
  };
}
