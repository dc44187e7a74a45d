/**
 * Entry point of a gateway on the users' platform: reads the settings, starts the gateway, reloads the
 * settings on SIGHUP and stops on SIGTERM. Only this module refers to a concrete platform adapter.
 * `scripts/gateway-loader.cjs` runs it.
 */
import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { pino } from 'pino';
import { createPlatformAdapter, SETTINGS_VARIABLE } from '../../platform/index.js';
import { GATEWAY_EVENTS } from '../core/logging/catalogue/gateway.js';
import { PROCESS_EVENTS } from '../core/logging/catalogue/process.js';
import {
  Gateway,
  GatewayLog,
  type GatewaySettings,
  logFault,
  parseGatewaySettings,
  type SettingsProblem,
  SYSTEM_TIMERS,
} from '../shell/gateway/index.js';
import { createLogger } from '../shell/logging/index.js';

const EXIT_FAULT = 1;
const EXIT_USAGE = 2;
const STANDARD_OUTPUT = 1;
/**
 * Log lines are buffered for this time, because each write is a round trip to another thread. This saves
 * 5% of the CPU time of a daemon at eleven requests/s (0.0287 instead of 0.0301 cores, with 16 daemons).
 * A process that is killed loses the buffered lines.
 */
const LOG_FLUSH_MS = 250;
/** A buffer of this size is written at once. Below 16 KiB, the largest single write of pino's destination. */
const LOG_WRITE_BYTES = 8_192;
const MAX_BUFFERED_LOG_BYTES = 1_048_576;
const UNBUNDLED = 'unbundled';

/** The settings file given on the command line, or otherwise by the environment variable. */
function settingsPath(): string {
  return process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? '';
}

function readSettings(): Result<GatewaySettings, SettingsProblem> {
  return parseGatewaySettings(readFileSync(settingsPath(), 'utf8'));
}

/** How long this process has run. */
function uptimeMs(): number {
  return Math.round(performance.now());
}

function exitOnInvalidSettings(problem: SettingsProblem): never {
  const { key, found, remedy } = problem;
  process.stderr.write(`${settingsPath()}: ${key}: found ${found}. ${remedy}\n`);
  process.exit(EXIT_USAGE);
}

/** What the loader of a bundle says of it. */
export interface ProgramStart {
  /** The hash of the bundle that runs, as in the name of its file. */
  readonly build: string;
}

/** Runs a gateway until SIGTERM. */
export function main({ build }: ProgramStart = { build: UNBUNDLED }): void {
  const settings = readSettings().match((value) => value, exitOnInvalidSettings);
  const destination = pino.destination({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: LOG_WRITE_BYTES,
    periodicFlush: LOG_FLUSH_MS,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  const logger = createLogger({ level: 'info', destination });
  const log = new GatewayLog(logger, SYSTEM_TIMERS, settings.logging.maxLinesPerSecond);
  log.write(PROCESS_EVENTS.settingsRead, { path: settingsPath(), uptimeMs: uptimeMs() });
  // A process that ends soon would lose its lines in the buffer.
  destination.flush();
  const gateway = new Gateway({
    build,
    settings,
    adapter: createPlatformAdapter(settings.store, settings.duties?.address),
    timers: SYSTEM_TIMERS,
    wallClock: Date.now,
    log,
  });
  // A fault ends what it came up in: the other requests of the process have no part in it.
  const keepRunning = (task: string) => (exception: unknown) =>
    logFault(log, { task, request: '', server: '' }, exception);
  process.on('uncaughtException', keepRunning('event handler'));
  process.on('unhandledRejection', keepRunning('promise'));
  const exitAfterFault = (exception: unknown): never => {
    keepRunning('start or stop')(exception);
    gateway.abort();
    destination.flushSync();
    process.exit(EXIT_FAULT);
  };
  const logSignal = (signal: NodeJS.Signals) =>
    log.write(PROCESS_EVENTS.signalReceived, { signal, uptimeMs: uptimeMs() });
  process.on('SIGHUP', (signal) => {
    logSignal(signal);
    readSettings().match(
      (reread) => gateway.reload(reread),
      (problem) => log.write(GATEWAY_EVENTS.settingsRejected, { ...problem }),
    );
  });
  process.on('SIGTERM', (signal) => {
    logSignal(signal);
    gateway.stop().then(() => {
      destination.flushSync();
      process.exit(0);
    }, exitAfterFault);
  });
  gateway.start().catch(exitAfterFault);
}
