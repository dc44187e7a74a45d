/**
 * What admission needs to know about requests, classes and tenants. The rules come from the configuration document
 * of the product's own API, or from the routes of a gateway.
 */
import type { ClassName, RequestId, TenantName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';

/** The fields of a request that admission uses. */
export interface Admissible {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly className: ClassName;
  readonly arrivedAt: MonotonicMs;
  /** The latest time at which the request may be dispatched. */
  readonly deadline: MonotonicMs;
}

/** The priority of a class, and its share of capacity while other classes wait. */
export interface ClassRules {
  /** Classes with a lower number are dispatched first. */
  readonly priority: number;
  /** The largest fraction (0 to 1) of the recently admitted cost that the class may have while another class waits. */
  readonly share: number;
}

/** How requests are grouped, priced and prioritized. */
export interface AdmissionRules<Request extends Admissible> {
  /** The key of a request's lane. Requests of one lane wait for the same capacity. */
  laneOf(request: Request): string;
  /** The expected cost of a request; above 0. */
  costOf(request: Request): number;
  classOf(name: ClassName): ClassRules;
  weightOf(tenant: TenantName): number;
  /** The minimum share of each class that has requests waiting; 0 where the order of classes is strict. */
  readonly minClassShare: number;
}
