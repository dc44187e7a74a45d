/** Collecting bytes of other programs within bounds. */
export { ByteCollector, createCollector } from './byte-collector.js';
export { HeldBytes } from './held-bytes.js';
