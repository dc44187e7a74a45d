/** Requests that are waiting or admitted. */
import type { ClassName, RequestId, TenantName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { Admissible } from './admission-rules.js';
import type { HeapItem } from './indexed-heap.js';

/** A waiting request; its heap key is its deadline. */
export interface WaitingRequest<Request extends Admissible = Admissible> extends HeapItem {
  readonly description: Request;
  readonly lane: string;
  readonly cost: number;
  /** Whether the cost was charged at an earlier admission, before a retry. */
  readonly charged: boolean;
}

/** A request that was admitted and has not ended. */
export interface AdmittedRequest {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly className: ClassName;
  readonly lane: string;
  readonly cost: number;
  readonly at: MonotonicMs;
}
