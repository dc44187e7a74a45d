/**
 * The demand on each service, from this daemon's callers and from the whole fleet: the work for each stage, the work
 * that other daemons have sent but not yet advertised, and how far rate limits reduce the throughput of engines.
 */
import {
  type DemandSums,
  type FleetPaces,
  type FleetSize,
  type NamedLimits,
  type PeerLoads,
  type ServerRecord,
  type ServiceDemand,
  StageDemand,
  type StageNeed,
  type UnseenWork,
  unseenWork,
} from '../../core/gateway/index.js';
import { getOrCreate } from './get-or-create.js';

/** Demand is measured over a sliding window of this length. */
export const DEMAND_WINDOW_MS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What the demand is computed from. */
export interface FleetDemandSources {
  readonly peerLoads: PeerLoads;
  readonly paces: Pick<FleetPaces, 'pacesOf'>;
  readonly size: Pick<FleetSize, 'listed'>;
  readonly limits: Pick<NamedLimits, 'of' | 'count'>;
  /** Servers of a service that may be sent new work. */
  readonly candidates: (service: string, nowMs: number) => readonly ServerRecord[];
  /** Servers of a service that are listed as ready and have not reported that they are leaving. */
  readonly readyOf: (service: string, nowMs: number) => readonly ServerRecord[];
}

/** The demand on all services. */
export class FleetDemand {
  readonly #sources: FleetDemandSources;
  readonly #demands = new Map<string, StageDemand>();

  constructor(sources: FleetDemandSources) {
    this.#sources = sources;
  }

  /** The demand from this daemon's own callers. */
  of(service: string): StageDemand {
    return getOrCreate(this.#demands, service, () => new StageDemand(DEMAND_WINDOW_MS));
  }

  /** Work that other daemons have sent but not yet advertised; undefined in fleets where they advertise it at once. */
  unseenOf(service: string, nowMs: number): UnseenWork | undefined {
    return unseenWork({
      daemons: this.#sources.size.listed,
      reportingDaemons: this.#sources.peerLoads.count(nowMs),
      knownAgeMs: this.#sources.peerLoads.sumsAgeMs(nowMs),
      own: this.of(service).sums(nowMs),
      all: this.#fleetDemandOf(service, nowMs),
      spanMs: DEMAND_WINDOW_MS,
      busyForMs: this.#sources.peerLoads.busyForMs(nowMs),
    });
  }

  /** This daemon's own recent demand, to be advertised to its peers. */
  own(nowMs: number): readonly ServiceDemand[] {
    const demands = [...this.#demands].map(([service, demand]) => ({
      service,
      ...demand.sums(nowMs),
    }));
    return demands.filter(({ requests }) => requests > 0);
  }

  /** Short prompts per millisecond that a decode engine of typical pace receives from all daemons. */
  shortReadsPerMs(service: string, nowMs: number): number {
    const paceOf = this.#sources.paces.pacesOf(service);
    const engines = this.#sources
      .candidates(service, nowMs)
      .filter(({ stage }) => stage === 'decode');
    const paces = engines.reduce((sum, { id }) => sum + paceOf(id), 0);
    const { shortRequests } = this.#fleetDemandOf(service, nowMs);
    return shortRequests / DEMAND_WINDOW_MS / Math.max(1, paces);
  }

  /** The work of a service, as the number of engines of typical pace that it keeps busy. */
  needOf(service: string, nowMs: number): StageNeed {
    const { prefillMs, decodeMs, requests } = this.#fleetDemandOf(service, nowMs);
    return {
      prefillEngines: prefillMs / DEMAND_WINDOW_MS,
      decodeEngines: decodeMs / DEMAND_WINDOW_MS,
      requests,
    };
  }

  /** The fleet's demand; until a peer has reported, this daemon's own demand times the number of daemons. */
  #fleetDemandOf(service: string, nowMs: number): DemandSums {
    const own = this.of(service).sums(nowMs);
    if (!this.#sources.peerLoads.hasReceived(nowMs))
      return scaled(own, this.#sources.size.listed ?? 1);
    const total = this.#sources.peerLoads
      .totalDemand(this.own(nowMs), nowMs)
      .find((demand) => demand.service === service);
    return total ?? own;
  }

  /**
   * By server, the share of its work that its rate limit allows: the limit against the mean request rate per server of
   * its stage, at most 1; 1 without a limit.
   */
  limitSharesOf(service: string, nowMs: number): (serverId: string) => number {
    if (this.#sources.limits.count === 0) return () => 1;
    const { requests } = this.#fleetDemandOf(service, nowMs);
    const servers = this.#sources.readyOf(service, nowMs);
    const perSecond = (requests * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW_MS;
    return (serverId) => {
      const limit = this.#sources.limits.of(serverId);
      if (limit === undefined || perSecond === 0) return 1;
      const stage = servers.find(({ id }) => id === serverId)?.stage;
      const ofSameStage = servers.filter((server) => server.stage === stage).length;
      return Math.min(1, (limit.perSecond * ofSameStage) / perSecond);
    };
  }
}

/** Scales the work, but not `requests`: the number of requests from which the work was measured. */
function scaled(demand: DemandSums, factor: number): DemandSums {
  return {
    prefillMs: demand.prefillMs * factor,
    decodeMs: demand.decodeMs * factor,
    requests: demand.requests,
    shortRequests: demand.shortRequests * factor,
  };
}
