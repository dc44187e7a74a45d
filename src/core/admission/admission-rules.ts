/**
 * What admission has to know of requests, classes and tenants, wherever they are described: the product's
 * own API document or the routes of a gateway.
 */
import type { ClassName, RequestId, TenantName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';

/** A request as far as admission looks at it. */
export interface Admissible {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly className: ClassName;
  readonly arrivedAt: MonotonicMs;
  /** When it has to be let go at the latest. */
  readonly deadline: MonotonicMs;
}

/** What a class may have while others wait. */
export interface ClassRules {
  /** A lower number goes first. */
  readonly priority: number;
  /** Its part of what was let go lately, from 0 to 1, while another class waits. */
  readonly share: number;
}

/** How requests are told apart. */
export interface AdmissionRules<Request extends Admissible> {
  /** Requests of one lane wait for the same room. */
  laneOf(request: Request): string;
  /** What it is expected to take up; above 0. */
  costOf(request: Request): number;
  classOf(name: ClassName): ClassRules;
  weightOf(tenant: TenantName): number;
  /** What each class that waits gets at least; 0 where the order of classes is strict. */
  readonly minClassShare: number;
}
