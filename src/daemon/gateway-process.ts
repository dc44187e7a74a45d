/**
 * The life of a gateway's process: it waits for settings that can be used, starts the gateway, and turns signals into reloads
 * of the settings and into one stop. Nothing else ends it but a fault in the start or the stop itself.
 */
import { GATEWAY_EVENTS } from '../core/logging/catalogue/gateway.js';
import { PROCESS_EVENTS } from '../core/logging/catalogue/process.js';
import type { LogFields } from '../core/logging/log-event.js';
import {
  describeFault,
  type Gateway,
  type GatewayLog,
  type GatewaySettings,
  type SettingsProblem,
  type TimerService,
} from '../shell/gateway/index.js';
import type { SettingsFile } from './settings-file.js';

/** How often settings that cannot be used are read again. */
const SETTINGS_RETRY_MS = 250;
const SETTINGS_REMINDER_MS = 10_000;

/** The signals that a gateway handles; the others have the effect that the system gives them. */
export const HANDLED_SIGNALS = ['SIGHUP', 'SIGTERM', 'SIGINT'] as const;
export type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** How the process ends. */
export type ProcessOutcome = 'stopped' | 'failed';

/** What the process is doing. */
type Phase =
  | { readonly kind: 'reading-settings' }
  | { readonly kind: 'starting'; readonly gateway: Gateway }
  | { readonly kind: 'running'; readonly gateway: Gateway }
  | { readonly kind: 'stopping' };

/** Dependencies of a `GatewayProcess`. */
export interface GatewayProcessOptions {
  readonly settingsFile: Pick<SettingsFile, 'path' | 'read'>;
  readonly createGateway: (settings: GatewaySettings) => Gateway;
  readonly timers: TimerService;
  readonly log: GatewayLog;
  /** Tells whoever started the process by hand about settings that cannot be used. */
  readonly tell: (line: string) => void;
  /** Ends the process, soon; called once. */
  readonly end: (outcome: ProcessOutcome) => void;
}

/** One gateway's process. */
export class GatewayProcess {
  readonly #options: GatewayProcessOptions;
  #phase: Phase = { kind: 'reading-settings' };
  /** Whether a reload was requested before there was a gateway to apply it to. */
  #isReloadDue = false;
  #isEnding = false;
  #toldProblem = '';
  #nextReminderMs = 0;

  constructor(options: GatewayProcessOptions) {
    this.#options = options;
  }

  /** Starts the gateway as soon as the settings can be used. */
  run(): void {
    if (this.#phase.kind !== 'reading-settings') return;
    this.#options.settingsFile.read().match(
      (settings) => this.#start(settings),
      (problem) => this.#awaitSettings(problem),
    );
  }

  /** Handles a signal; one that comes during the start takes effect after it. */
  handleSignal(signal: HandledSignal): void {
    const { log } = this.#options;
    log.write(PROCESS_EVENTS.signalReceived, { signal, phase: this.#phase.kind });
    switch (signal) {
      case 'SIGHUP':
        this.#reload();
        return;
      case 'SIGTERM':
      case 'SIGINT':
        this.#stop();
        return;
    }
  }

  #awaitSettings(problem: SettingsProblem): void {
    const { settingsFile, timers, log, tell } = this.#options;
    const line = describeProblem(settingsFile.path, problem);
    const isNew = line !== this.#toldProblem;
    if (isNew) tell(line);
    if (isNew || timers.nowMs() >= this.#nextReminderMs) {
      log.write(PROCESS_EVENTS.settingsAwaited, {
        path: settingsFile.path,
        ...fieldsOf(problem),
      });
      this.#nextReminderMs = timers.nowMs() + SETTINGS_REMINDER_MS;
    }
    this.#toldProblem = line;
    timers.after(SETTINGS_RETRY_MS, () => this.run());
  }

  #start(settings: GatewaySettings): void {
    const { settingsFile, log } = this.#options;
    log.limitLines(settings.logging.maxLinesPerSecond);
    log.write(PROCESS_EVENTS.settingsRead, { path: settingsFile.path });
    const gateway = this.#create(settings);
    if (gateway === undefined) return;
    this.#phase = { kind: 'starting', gateway };
    gateway.start().then(
      () => this.#handleStarted(gateway),
      (exception: unknown) => this.#fail(exception, gateway),
    );
  }

  #create(settings: GatewaySettings): Gateway | undefined {
    try {
      return this.#options.createGateway(settings);
    } catch (exception) {
      this.#fail(exception, undefined);
      return undefined;
    }
  }

  #handleStarted(gateway: Gateway): void {
    if (this.#phase.kind !== 'starting') return;
    this.#phase = { kind: 'running', gateway };
    if (this.#isReloadDue) this.#reload();
  }

  #reload(): void {
    const { settingsFile, log } = this.#options;
    switch (this.#phase.kind) {
      case 'reading-settings':
      case 'starting':
        this.#isReloadDue = true;
        return;
      case 'running': {
        const { gateway } = this.#phase;
        settingsFile.read().match(
          (settings) => gateway.reload(settings),
          (problem) => log.write(GATEWAY_EVENTS.settingsRejected, fieldsOf(problem)),
        );
        return;
      }
      case 'stopping':
        return;
    }
  }

  /** Begins the stop; a second signal changes nothing in it. */
  #stop(): void {
    const { log } = this.#options;
    switch (this.#phase.kind) {
      case 'reading-settings':
        this.#phase = { kind: 'stopping' };
        log.write(PROCESS_EVENTS.stoppedBeforeStart);
        this.#end('stopped');
        return;
      case 'starting':
      case 'running': {
        const { gateway } = this.#phase;
        this.#phase = { kind: 'stopping' };
        gateway.stop().then(
          () => this.#end('stopped'),
          (exception: unknown) => this.#fail(exception, gateway),
        );
        return;
      }
      case 'stopping':
        return;
    }
  }

  #fail(exception: unknown, gateway: Gateway | undefined): void {
    this.#options.log.write(PROCESS_EVENTS.processFailed, describeFault(exception));
    try {
      gateway?.abort();
    } finally {
      this.#end('failed');
    }
  }

  #end(outcome: ProcessOutcome): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    this.#options.end(outcome);
  }
}

/** A problem as the fields of a log line, which withholds texts under names like `key`. */
function fieldsOf({ key, found, remedy }: SettingsProblem): LogFields {
  return { setting: key, found, remedy };
}

function describeProblem(path: string, { key, found, remedy }: SettingsProblem): string {
  return `${path}: ${key}: found ${found}. ${remedy} The file is read again until it can be used.\n`;
}
