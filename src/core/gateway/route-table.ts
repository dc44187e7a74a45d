/**
 * Finds the route of a request: the one with the longest matching path prefix among the routes of its host. Splits a
 * route's traffic over its services by weight.
 */
import type { Route, TrafficShare } from './configuration.js';

/** An index over one configuration's routes. */
export class RouteTable {
  /** Routes by host, longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const routesOfHost = this.#byHost.get(host) ?? [];
      routesOfHost.push(route);
      this.#byHost.set(host, routesOfHost);
    }
    for (const routesOfHost of this.#byHost.values()) {
      routesOfHost.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
  }

  /**
   * @param hostHeader the Host header, with or without a port
   * @param target the request target, with or without a query
   */
  find(hostHeader: string, target: string): Route | undefined {
    const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
    const path = target.split('?', 1)[0] ?? target;
    return this.#byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Distributes the requests of a route over its services by weight, by smooth weighted round robin. */
export class TrafficSplitter {
  /** Round-robin credits by service, for each route by name. */
  readonly #credits = new Map<string, Map<string, number>>();

  /** The service for the next request; undefined if no share has a weight above 0. */
  choose(route: Route): string | undefined {
    const shares = route.traffic.filter((share) => share.weight > 0);
    if (shares.length <= 1) return shares[0]?.service;
    const credits = this.#credits.get(route.name) ?? new Map<string, number>();
    this.#credits.set(route.name, credits);
    return pickByCredit(shares, credits);
  }

  /** Forgets routes that are no longer configured. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map((route) => route.name));
    for (const name of this.#credits.keys()) {
      if (!names.has(name)) this.#credits.delete(name);
    }
  }
}

function pickByCredit(
  shares: readonly TrafficShare[],
  credits: Map<string, number>,
): string | undefined {
  let totalWeight = 0;
  let chosen: string | undefined;
  let highest = Number.NEGATIVE_INFINITY;
  for (const share of shares) {
    totalWeight += share.weight;
    const credit = (credits.get(share.service) ?? 0) + share.weight;
    credits.set(share.service, credit);
    if (credit > highest) {
      highest = credit;
      chosen = share.service;
    }
  }
  if (chosen !== undefined) credits.set(chosen, highest - totalWeight);
  return chosen;
}
