/**
 * Numbered log events. Each area of the code has one file under `catalogue/`; docs/EVENTS.md is
 * generated from them. Core reducers log through `LogEffect`; the shell writes them with pino.
 */

/** Severity, as pino names it. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Lines with a limit of their own, so that a flood of other lines does not displace them. */
export type LogReserve =
  /** What tells of the start, the state and the end of a process. */
  | 'process-life'
  /** Requests that a stop cuts: all of them in the same moment. */
  | 'cut-requests';

/** One kind of log line. */
export interface LogEvent {
  /** Unique over the whole catalogue, never reused. */
  readonly number: number;
  readonly level: LogLevel;
  /** The fixed text of the line; variable data goes into fields. */
  readonly message: string;
  /** What the event means and what an operator should do about it, for docs/EVENTS.md. */
  readonly remedy: string;
  /** The limit that its lines count against; undefined for the limit of all other lines. */
  readonly reserve?: LogReserve;
}

/** Values a log line may carry. Never a prompt's text and never a key. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Asks the shell to write a log line. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** Builds a log effect. */
export function log(event: LogEvent, fields: LogFields = {}): LogEffect {
  return { kind: 'log', event, fields };
}
