/**
 * The gateway's program on the users' platform: reads its settings, starts, reloads on SIGHUP and stops on
 * SIGTERM. The one place of the product that names an adapter. `scripts/gateway-loader.cjs` runs it.
 */
import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { pino } from 'pino';
import { createPlatformAdapter, SETTINGS_VARIABLE } from '../../platform/index.js';
import { GATEWAY_EVENTS } from '../core/logging/catalogue/gateway.js';
import {
  Gateway,
  GatewayLog,
  type GatewaySettings,
  parseGatewaySettings,
  type SettingsProblem,
  SYSTEM_TIMERS,
} from '../shell/gateway/index.js';
import { createLogger } from '../shell/logging/index.js';

const EXIT_USAGE = 2;
const STANDARD_OUTPUT = 1;
/**
 * Lines are written together, as each write is handed to another thread and back: 5% less processor time on a
 * daemon that serves eleven requests a second (0.0301 and 0.0287 cores, one play of 16 daemons each). A process that is killed takes the lines of this time with it.
 */
const LOG_FLUSH_MS = 250;
/** As many bytes are written at once; below the 16 KiB that pino's destination writes at most. */
const LOG_WRITE_BYTES = 8_192;
const MAX_BUFFERED_LOG_BYTES = 1_048_576;

/** The settings file named on the command line, or else by the environment. */
function settingsPath(): string {
  return process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? '';
}

function readSettings(): Result<GatewaySettings, SettingsProblem> {
  return parseGatewaySettings(readFileSync(settingsPath(), 'utf8'));
}

function exitOnWrongSettings(problem: SettingsProblem): never {
  const { key, found, remedy } = problem;
  process.stderr.write(`${settingsPath()}: ${key}: found ${found}. ${remedy}\n`);
  process.exit(EXIT_USAGE);
}

/** Runs a gateway until it is told to stop. */
export function main(): void {
  const settings = readSettings().match((value) => value, exitOnWrongSettings);
  const destination = pino.destination({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: LOG_WRITE_BYTES,
    periodicFlush: LOG_FLUSH_MS,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  const logger = createLogger({ level: 'info', destination });
  const log = new GatewayLog(logger, SYSTEM_TIMERS, settings.logging.maxLinesPerSecond);
  const gateway = new Gateway({
    settings,
    adapter: createPlatformAdapter(settings.store, settings.duties?.address),
    timers: SYSTEM_TIMERS,
    wallClock: Date.now,
    log,
  });
  process.on('SIGHUP', () => {
    readSettings().match(
      (reread) => gateway.reload(reread),
      (problem) => log.write(GATEWAY_EVENTS.settingsRejected, { ...problem }),
    );
  });
  process.on('SIGTERM', () => {
    void gateway.stop().then(() => {
      destination.flushSync();
      process.exit(0);
    });
  });
  void gateway.start();
}
