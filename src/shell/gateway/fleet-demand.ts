/**
 * What the services are asked for, by this daemon's callers and by all: the work of each stage, what others have sent that
 * does not show yet, and what limits of servers leave of their engines.
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

/** The mix of work is judged over this time. */
export const DEMAND_WINDOW_MS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What it is worked out from. */
export interface FleetDemandSources {
  readonly peerLoads: PeerLoads;
  readonly paces: Pick<FleetPaces, 'pacesOf'>;
  readonly size: Pick<FleetSize, 'listed'>;
  readonly limits: Pick<NamedLimits, 'of' | 'count'>;
  /** Servers of a service that may be sent new work. */
  readonly candidates: (service: string, nowMs: number) => readonly ServerRecord[];
  /** Servers of a service that are there and stay. */
  readonly readyOf: (service: string, nowMs: number) => readonly ServerRecord[];
}

/** The demand on all services. */
export class FleetDemand {
  readonly #sources: FleetDemandSources;
  readonly #demands = new Map<string, StageDemand>();

  constructor(sources: FleetDemandSources) {
    this.#sources = sources;
  }

  /** What this daemon is asked for. */
  of(service: string): StageDemand {
    return getOrCreate(this.#demands, service, () => new StageDemand(DEMAND_WINDOW_MS));
  }

  /** What other daemons have sent for a service that does not show yet; undefined where all shows at once. */
  unseenOf(service: string, nowMs: number): UnseenWork | undefined {
    return unseenWork({
      daemons: this.#sources.size.listed,
      reportingDaemons: this.#sources.peerLoads.count(nowMs),
      knownAgeMs: this.#sources.peerLoads.sumsAgeMs(nowMs),
      own: this.of(service).sums(nowMs),
      all: this.#ofAll(service, nowMs),
      spanMs: DEMAND_WINDOW_MS,
      busyForMs: this.#sources.peerLoads.busyForMs(nowMs),
    });
  }

  /** What this daemon was asked for lately, for its peers. */
  own(nowMs: number): readonly ServiceDemand[] {
    const demands = [...this.#demands].map(([service, demand]) => ({
      service,
      ...demand.sums(nowMs),
    }));
    return demands.filter(({ requests }) => requests > 0);
  }

  /** Short prompts that a decode engine of the usual pace gets in a millisecond, from all daemons. */
  shortReadsPerMs(service: string, nowMs: number): number {
    const paceOf = this.#sources.paces.pacesOf(service);
    const engines = this.#sources
      .candidates(service, nowMs)
      .filter(({ stage }) => stage === 'decode');
    const paces = engines.reduce((sum, { id }) => sum + paceOf(id), 0);
    const { shortRequests } = this.#ofAll(service, nowMs);
    return shortRequests / DEMAND_WINDOW_MS / Math.max(1, paces);
  }

  /** The work of a service, in engines of the usual pace that it keeps busy. */
  needOf(service: string, nowMs: number): StageNeed {
    const { prefillMs, decodeMs, requests } = this.#ofAll(service, nowMs);
    return {
      prefillEngines: prefillMs / DEMAND_WINDOW_MS,
      decodeEngines: decodeMs / DEMAND_WINDOW_MS,
      requests,
    };
  }

  /** The demand that all daemons see; while none is heard, as if all saw as much as this one. */
  #ofAll(service: string, nowMs: number): DemandSums {
    const own = this.of(service).sums(nowMs);
    if (!this.#sources.peerLoads.hasReceived(nowMs))
      return scaled(own, this.#sources.size.listed ?? 1);
    const total = this.#sources.peerLoads
      .totalDemand(this.own(nowMs), nowMs)
      .find((demand) => demand.service === service);
    return total ?? own;
  }

  /** By server, the part of its pace that its limit leaves it: what it takes of what each of its stage gets; 1 without one. */
  limitSharesOf(service: string, nowMs: number): (serverId: string) => number {
    if (this.#sources.limits.count === 0) return () => 1;
    const { requests } = this.#ofAll(service, nowMs);
    const servers = this.#sources.readyOf(service, nowMs);
    const perSecond = (requests * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW_MS;
    return (serverId) => {
      const limit = this.#sources.limits.of(serverId);
      if (limit === undefined || perSecond === 0) return 1;
      const stage = servers.find(({ id }) => id === serverId)?.stage;
      const alike = servers.filter((server) => server.stage === stage).length;
      return Math.min(1, (limit.perSecond * alike) / perSecond);
    };
  }
}

/** The work is multiplied, but not what it was seen from. */
function scaled(demand: DemandSums, factor: number): DemandSums {
  return {
    prefillMs: demand.prefillMs * factor,
    decodeMs: demand.decodeMs * factor,
    requests: demand.requests,
    shortRequests: demand.shortRequests * factor,
  };
}
