/** Judges how a daemon's process ended: whether the soak had asked for it. Pure. */

/** The signals that the soak sends to daemons. */
export type DaemonSignal = 'SIGKILL' | 'SIGTERM' | 'SIGINT' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP';

/** How a process ended; one of code and signal is null, as node reports them. */
export interface ProcessExit {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process that has ended, and what had been done to it. */
export interface EndedProcess extends ProcessExit {
  /** The signals that the soak sent to it. */
  readonly sent: ReadonlySet<NodeJS.Signals>;
  /** Whether it had begun to load the daemon's program, before which the daemon must have taken its signals over. */
  readonly hasBegun: boolean;
}

export type EndCause =
  /** The soak killed it, or asked it to stop. */
  | 'requested'
  /** A signal that must not end a daemon came before any code of the daemon had run, while only node itself could act. */
  | 'before-code'
  | 'own';

/** Whether a signal asks a daemon to stop. */
export function isStopSignal(signal: NodeJS.Signals): boolean {
  return signal === 'SIGTERM' || signal === 'SIGINT';
}

export function causeOfEnd({ exitCode, signal, sent, hasBegun }: EndedProcess): EndCause {
  if (signal === null) {
    const isStopped = exitCode === 0 && [...sent].some(isStopSignal);
    return isStopped ? 'requested' : 'own';
  }
  if (!sent.has(signal)) return 'own';
  if (signal === 'SIGKILL') return 'requested';
  // A signal that ends a process does so before the process runs on, so its code had taken none over.
  if (hasBegun) return 'own';
  return isStopSignal(signal) ? 'requested' : 'before-code';
}
