/** Collecting bytes of other programs within bounds. */
export { HeldBytes } from './held-bytes.js';
