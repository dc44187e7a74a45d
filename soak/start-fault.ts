/** Faults around the starts and stops of daemons' processes. */

/** Signals that the plan of starts sends; `SIGKILL` and the stop signals are followed by a start. */
export type SeriesSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT' | 'SIGKILL';

/** A signal of a series. */
export interface TimedSignal {
  readonly signal: SeriesSignal;
  /** Time since the series began. */
  readonly afterMs: number;
}

/** What a daemon listens at, apart by protocol. */
export const ALL_PORTS = ['callers', 'readiness', 'metrics', 'peers-tcp', 'peers-udp'] as const;

export type DaemonPort = (typeof ALL_PORTS)[number];

/** How a settings file is not whole. */
export type SettingsFlaw = 'missing' | 'empty' | 'cut';

/** Signals, ports that are taken and settings that are not whole, around starts and stops. */
export type StartFault =
  /** Each daemon gets a series of signals, which goes on at its next process where one ends. */
  | {
      readonly kind: 'signals';
      readonly daemons: readonly number[];
      readonly signals: readonly TimedSignal[];
    }
  /** The daemons are killed and started again; the series begins in the first moments of the new processes. */
  | {
      readonly kind: 'young-signals';
      readonly daemons: readonly number[];
      readonly downMs: number;
      /** Whether the series begins as a process is started, or as it begins to load the daemon's program. */
      readonly since: 'start' | 'program';
      readonly signals: readonly TimedSignal[];
    }
  /** The daemons are stopped, started again, and stopped once more in the first moments of the new processes. */
  | {
      readonly kind: 'stop-again';
      readonly daemons: readonly number[];
      /** Time from the start of the new process until its stop. */
      readonly afterMs: number;
    }
  /** The daemons are killed, and find ports taken as they start again. */
  | {
      readonly kind: 'ports-taken';
      readonly daemons: readonly number[];
      readonly ports: readonly DaemonPort[];
      readonly downMs: number;
      /** Time from the start of the process until the ports are free. */
      readonly forMs: number;
    }
  /** The settings are spoiled for a time; each daemon is told to read them again as they are spoiled and as they are whole. */
  | {
      readonly kind: 'settings-spoiled';
      readonly daemons: readonly number[];
      readonly flaw: SettingsFlaw;
      readonly keptShare: number;
      /** Whether the daemons are killed first, and start with the spoiled settings. */
      readonly isAtStart: boolean;
      readonly forMs: number;
    };
