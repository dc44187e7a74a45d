/** Memory that no test uses up. */
import { MemoryLedger } from '../../../src/core/gateway/index.js';

const AMPLE_BYTES = 1_073_741_824;

export function ampleMemory(): MemoryLedger {
  return new MemoryLedger({ heapBytes: AMPLE_BYTES, bufferBytes: AMPLE_BYTES });
}
