/**
 * Writes log events as JSON lines with pino, each with its number from the catalogue.
 */
import { type DestinationStream, pino } from 'pino';
import type { DaemonName, ZoneName } from '../../core/common/identifiers.js';
import type { LogEvent, LogFields, LogLevel } from '../../core/logging/log-event.js';
import { redact } from './redaction.js';

const STANDARD_ERROR = 2;
/** Lines buffered while the reader of the log stalls; further lines are dropped. */
const MAX_BUFFERED_BYTES = 4_194_304;

/** Writes log events. */
export interface Logger {
  write(event: LogEvent, fields?: LogFields): void;
  /** Writes the buffered lines out; to be called before the process exits. */
  flush(): void;
}

/** The daemon that writes a log. */
export interface LogWriter {
  readonly daemon: DaemonName;
  readonly zone: ZoneName;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
  readonly level: LogLevel;
  /** Where lines go; standard error when absent, as standard output is for the results of programs. */
  readonly destination?: DestinationStream;
  /** The daemon that writes: the field `writer` of every line, separate from the event's own fields. */
  readonly writer?: LogWriter;
}

/** Creates a logger that needs no file, no pino transport and no worker thread. */
export function createLogger(options: LoggerOptions): Logger {
  const standardError =
    options.destination === undefined
      ? pino.destination({ fd: STANDARD_ERROR, sync: false, maxLength: MAX_BUFFERED_BYTES })
      : null;
  // A log that cannot be written, as its disk is full, ends no daemon; lines are dropped beyond the buffer.
  let isWritable = true;
  standardError?.on('error', () => {
    isWritable = false;
  });
  standardError?.on('write', () => {
    isWritable = true;
  });
  const pinoLogger = pino(
    {
      level: options.level,
      base: options.writer === undefined ? {} : { writer: options.writer },
      formatters: { level: (label) => ({ level: label }) },
    },
    options.destination ?? standardError ?? undefined,
  );
  return {
    write: (event, fields = {}) => {
      if (!pinoLogger.isLevelEnabled(event.level)) return;
      pinoLogger[event.level](
        { event: event.number, ...redact(renameReservedFields(fields)) },
        event.message,
      );
    },
    flush: () => {
      // A synchronous write is tried again for ever where it fails, here and at the exit of the process.
      if (isWritable) standardError?.flushSync();
      else standardError?.destroy();
    },
  };
}

const RESERVED_NAMES: ReadonlySet<string> = new Set(['level', 'time', 'writer', 'event', 'msg']);

/** Appends an underscore to event fields named like a field of the line itself, so that no name occurs twice. */
function renameReservedFields(fields: LogFields): LogFields {
  if (!Object.keys(fields).some((name) => RESERVED_NAMES.has(name))) return fields;
  const renamed = Object.entries(fields).map(([name, value]) => [
    RESERVED_NAMES.has(name) ? `${name}_` : name,
    value,
  ]);
  return Object.fromEntries(renamed);
}
