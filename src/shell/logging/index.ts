/** Logging: numbered events from the catalogue, written as JSON lines. */
export { createLogger, type Logger, type LoggerOptions } from './logger.js';
