/** The lease resource of a pool. */
import type { PoolName } from '../common/identifiers.js';

/** The name of the lease whose holder controls the pool, for example `pool/labels@leiden-a`. */
export function resourceOfPool(pool: PoolName): string {
  return `pool/${pool}`;
}
