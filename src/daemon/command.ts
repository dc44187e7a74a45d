/**
 * The `threadforkd` command: checks the settings, starts the daemon, stops it on signals.
 */
import { readFileSync } from 'node:fs';
import { type BaseContext, Command, Option } from 'clipanion';
import { DAEMON_EVENTS } from '../core/logging/catalogue/daemon.js';
import { createLogger } from '../shell/logging/index.js';
import {
  type DaemonSettings,
  formatEndpoint,
  formatProblem,
  loadSettings,
  type SettingsFlags,
} from '../shell/settings/index.js';
import type { StopSignals } from './stop-signals.js';
import type { RunningDaemon, StartDaemon } from './types.js';

/** Exit codes of `threadforkd`. */
const EXIT_DONE = 0;
/** The daemon could not start, or stopping it aborted running requests. */
const EXIT_FAILED = 1;
/** The settings or flags can't be used; nothing was started. */
export const EXIT_USAGE = 2;

/** Dependencies of the command besides the standard streams. */
export interface DaemonContext extends BaseContext {
  readonly startDaemon: StartDaemon;
  /** Installed before anything else, so that a signal during the start also leads to a planned stop. */
  readonly signals: StopSignals;
}

/** Runs one daemon until a stop signal arrives. */
export class DaemonCommand extends Command<DaemonContext> {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run one threadfork daemon.',
    details: `
      Settings come from a YAML file, from flags, or from both; a flag wins over the file.
      Once it listens, the daemon prints one JSON line on standard output; its log goes to
      standard error. SIGTERM or SIGINT finishes running requests and exits; a second signal
      exits at once. Exit codes: 0 stopped cleanly, 1 could not start or cut requests,
      2 unusable settings.
    `,
    examples: [
      ['Run with a settings file', '$0 --settings examples/daemon-scanhuis.yaml'],
      ['Check a settings file and start nothing', '$0 --settings daemon.yaml --check-config'],
      ['Take free ports', '$0 --settings daemon.yaml --listen-callers 127.0.0.1:0'],
    ],
  });

  settings = Option.String('--settings', { description: 'YAML settings file' });
  daemonName = Option.String('--name', { description: 'name of this daemon' });
  zone = Option.String('--zone', { description: 'zone of this machine' });
  listenCallers = Option.String('--listen-callers', { description: 'IP:PORT for callers' });
  listenOperators = Option.String('--listen-operators', { description: 'IP:PORT for operators' });
  listenPeers = Option.String('--listen-peers', { description: 'IP:PORT for other daemons' });
  platform = Option.String('--platform', { description: 'IP:PORT of the platform' });
  fleetKeyFile = Option.String('--fleet-key-file', { description: 'file with the fleet key' });
  fleetKeyEnv = Option.String('--fleet-key-env', {
    description: 'environment variable with the fleet key',
  });
  allowUnauthenticatedOperators = Option.Boolean('--allow-unauthenticated-operators', {
    description: 'take commands without a token on an address other than loopback',
  });
  seeds = Option.Array('--seed', { description: 'IP:PORT of a peer; may be repeated' });
  stopGraceMs = Option.String('--stop-grace-ms', {
    description: 'how long a planned stop waits for running requests',
  });
  logLevel = Option.String('--log-level', { description: 'debug, info, warn or error' });
  checkConfig = Option.Boolean('--check-config', false, {
    description: 'check the settings and exit',
  });

  override async execute(): Promise<number> {
    const loaded = loadSettings(
      this.flags(),
      (path) => readFileSync(path, 'utf8'),
      this.context.env,
    );
    if (loaded.isErr()) {
      const lines = loaded.error.map((problem) => `${formatProblem(problem)}\n`);
      this.context.stderr.write(lines.join(''));
      return EXIT_USAGE;
    }
    if (this.checkConfig) {
      this.context.stdout.write(`settings of ${loaded.value.name} are good\n`);
      return EXIT_DONE;
    }
    return this.run(loaded.value);
  }

  private flags(): SettingsFlags {
    return { ...this, name: this.daemonName };
  }

  private async run(settings: DaemonSettings): Promise<number> {
    const logger = createLogger({
      level: settings.logLevel,
      writer: { daemon: settings.name, zone: settings.zone },
    });
    const { signals } = this.context;
    signals.onReload(() => logger.write(DAEMON_EVENTS.reloadIgnored));
    try {
      const daemon = await this.context.startDaemon(settings, logger);
      this.context.stdout.write(`${readyLine(daemon)}\n`);
      return await runUntilSignalled(daemon, signals);
    } catch (cause) {
      this.context.stderr.write(`threadforkd failed: ${describeFailure(cause)}\n`);
      return EXIT_FAILED;
    } finally {
      signals.close();
      logger.flush();
    }
  }
}

function describeFailure(cause: unknown): string {
  if (!(cause instanceof Error)) return String(cause);
  const isListening = 'syscall' in cause && cause.syscall === 'listen';
  return isListening ? `${cause.message}; listen on a free address of this machine` : cause.message;
}

function readyLine(daemon: RunningDaemon): string {
  return JSON.stringify({
    ready: true,
    callers: formatEndpoint(daemon.callers),
    operators: formatEndpoint(daemon.operators),
    peers: formatEndpoint(daemon.peers),
  });
}

/**
 * Stops gracefully at the first signal and aborts the remaining requests at the second. Resolves to
 * the exit code.
 */
async function runUntilSignalled(daemon: RunningDaemon, signals: StopSignals): Promise<number> {
  await signals.next();
  const second = signals.next().then(() => 'second-signal' as const);
  const outcome = await Promise.race([daemon.stop(), second]);
  if (outcome === 'second-signal') await daemon.stopNow();
  return outcome === 'clean' ? EXIT_DONE : EXIT_FAILED;
}
