/**
 * Guards against requests that reach a server later than half of its drain time, as what daemons tell one another arrives ever
 * later, in order and without a gap, while the store and each daemon's path to it are well. A fleet at twice the largest.
 */
import { SIZES } from './support/departing-sizes.js';
import { testLateDatagrams } from './support/late-datagrams.js';

const LARGE_DAEMONS = 100;

for (const size of SIZES.filter(({ hasRelays }) => hasRelays)) {
  if (size.zones * size.daemonsPerZone >= LARGE_DAEMONS) testLateDatagrams(size);
}
