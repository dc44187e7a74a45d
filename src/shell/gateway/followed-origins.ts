/** Where the streams of a route may have begun, as far as this daemon has followed the list of servers. */
import type { OriginView, PossibleOrigins } from '../../core/gateway/index.js';

/** Dependencies of `FollowedOrigins`. */
export interface FollowedOriginsOptions {
  readonly possibleOrigins: Pick<PossibleOrigins, 'viewOf'>;
  /** How long the list of servers has been followed without a gap; undefined if it is not followed now. */
  readonly serversFollowedMs: () => number | undefined;
}

/** Views that are complete only where no version can have joined unseen. */
export class FollowedOrigins {
  readonly #options: FollowedOriginsOptions;

  constructor(options: FollowedOriginsOptions) {
    this.#options = options;
  }

  /** @param lifeMs how long a stream of the route may live */
  viewOf(routeKey: string, lifeMs: number, nowMs: number): OriginView {
    const { possibleOrigins, serversFollowedMs } = this.#options;
    const view = possibleOrigins.viewOf(routeKey, lifeMs, nowMs);
    const followedMs = serversFollowedMs() ?? Number.NEGATIVE_INFINITY;
    return { ...view, isComplete: view.isComplete && followedMs >= lifeMs };
  }
}
