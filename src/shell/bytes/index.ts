/** Collecting bytes of other programs within bounds. */
export { ByteCollector, type CreateCollector, createCollector } from './byte-collector.js';
export { HeldBytes } from './held-bytes.js';
export { countJsonValues } from './json-values.js';
