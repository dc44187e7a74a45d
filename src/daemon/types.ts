/**
 * The interface between a running daemon and the command that started it.
 */
import type { Endpoint } from '../core/registry/backend.js';
import type { Logger } from '../shell/logging/index.js';
import type { DaemonSettings } from '../shell/settings/index.js';

/**
 * How a planned stop ended: `clean` if every running request has ended, `cut` if the grace period
 * expired first.
 */
export type StopOutcome = 'clean' | 'cut';

/** A daemon that listens. Where the settings have port 0, the endpoints hold the port assigned. */
export interface RunningDaemon {
  readonly callers: Endpoint;
  readonly operators: Endpoint;
  readonly peers: Endpoint;
  /**
   * Refuses new requests and waits for the running ones. Resolves at the latest when the grace
   * period of the settings expires.
   */
  stop(): Promise<StopOutcome>;
  /** Aborts the running requests, whose callers are told so, and closes everything. */
  stopNow(): Promise<void>;
}

/** Starts a daemon; rejects when it can't listen on the configured addresses. */
export type StartDaemon = (settings: DaemonSettings, logger: Logger) => Promise<RunningDaemon>;
