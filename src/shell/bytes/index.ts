/** Collecting bytes of other programs within bounds. */
export { ByteCollector } from './byte-collector.js';
export { HeldBytes } from './held-bytes.js';
export { type CreateCollector, countJsonValues, createCollector } from './json-values.js';
