/**
 * Entry point of a gateway on the users' platform: puts the process together with its settings file, its log and the
 * platform's adapter. Only this module refers to a concrete platform adapter. `scripts/gateway-loader.cjs` runs it.
 */

import { pino } from 'pino';
import { createPlatformAdapter, SETTINGS_VARIABLE } from '../../platform/index.js';
import { ANSWER_READING } from '../shell/bytes/index.js';
import { Gateway, GatewayLog, logFault, SYSTEM_TIMERS } from '../shell/gateway/index.js';
import { createLogger } from '../shell/logging/index.js';
import { GatewayProcess, HANDLED_SIGNALS, type ProcessOutcome } from './gateway-process.js';
import { SettingsFile } from './settings-file.js';

const EXIT_CODES: Readonly<Record<ProcessOutcome, number>> = { stopped: 0, failed: 1 };
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
/** The last lines are given up after this time; with the rest of a stop it has to fit the grace period. */
const MAX_LAST_LINES_MS = 300;
const MAX_BUFFERED_LOG_BYTES = 1_048_576;
/** The limit until the settings name one. */
const START_LINES_PER_SECOND = 100;

/** What the loader of a bundle passes on. */
export interface ProgramStart {
  /** The hash of the bundle that runs, as in the name of its file. */
  readonly build: string;
}

type LogDestination = ReturnType<typeof pino.destination>;

const WITHOUT_LOADER: ProgramStart = { build: 'unbundled' };

/** The settings file given on the command line, or otherwise by the environment variable. */
function settingsPath(): string {
  const path = process.argv[2] ?? process.env[SETTINGS_VARIABLE];
  if (path !== undefined && path !== '') return path;
  process.stderr.write(
    `no settings file: give its path as the first argument or in ${SETTINGS_VARIABLE}\n`,
  );
  process.exit(EXIT_USAGE);
}

/**
 * Ends the process once its last lines are written, or cannot be: the reader of the log may be gone, or its disk full. What is
 * buffered is not written synchronously, as that tries again for ever where it fails; pino does so at the exit, unless the
 * destination is destroyed.
 */
function endProcess(destination: LogDestination, exitCode: number): void {
  const exit = (): void => {
    destination.destroy();
    process.exit(exitCode);
  };
  destination.once('close', exit);
  destination.once('error', exit);
  SYSTEM_TIMERS.after(MAX_LAST_LINES_MS, exit);
  destination.end();
}

/** Runs a gateway until SIGTERM or SIGINT. */
export function main({ build }: ProgramStart = WITHOUT_LOADER): void {
  const destination = pino.destination({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: LOG_WRITE_BYTES,
    periodicFlush: LOG_FLUSH_MS,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  const logger = createLogger({ level: 'info', destination });
  const log = new GatewayLog(logger, SYSTEM_TIMERS, START_LINES_PER_SECOND);
  const gatewayProcess = new GatewayProcess({
    settingsFile: new SettingsFile(settingsPath()),
    createGateway: (settings) =>
      new Gateway({
        build,
        settings,
        adapter: createPlatformAdapter(ANSWER_READING, settings.store, settings.duties?.address),
        timers: SYSTEM_TIMERS,
        wallClock: Date.now,
        log,
      }),
    timers: SYSTEM_TIMERS,
    log,
    tell: (line) => process.stderr.write(line),
    end: (outcome) => {
      log.close();
      endProcess(destination, EXIT_CODES[outcome]);
    },
  });
  // A fault ends what it came up in: the other requests of the process have no part in it.
  const keepRunning = (task: string) => (exception: unknown) =>
    logFault(log, { task, request: '', server: '' }, exception);
  process.on('uncaughtException', keepRunning('event handler'));
  process.on('unhandledRejection', keepRunning('promise'));
  for (const signal of HANDLED_SIGNALS) {
    process.on(signal, () => gatewayProcess.handleSignal(signal));
  }
  gatewayProcess.run();
  // A process that ends soon would lose the lines on its start.
  destination.flush();
}
