/** Collecting bytes of other programs within bounds. */
export { limitAnswerHead } from './answer-head-limit.js';
export { ANSWER_READING, type AnswerReading, type CompleteAnswer } from './answer-reading.js';
export { ByteCollector } from './byte-collector.js';
export { HeldBytes } from './held-bytes.js';
export { countJsonValues } from './json-values.js';
