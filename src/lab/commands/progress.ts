/** Writes progress: on a terminal one line that is overwritten, otherwise a line every few seconds. */
import type { Writable } from 'node:stream';

const TERMINAL_INTERVAL_MS = 250;
const DEFAULT_INTERVAL_MS = 5_000;
const CLEAR_LINE = '\r\u001b[2K';

/** Progress for standard error, so that standard output contains only the result. */
export class ProgressWriter {
  private readonly isTerminal: boolean;
  private lineIsOpen = false;

  constructor(private readonly stream: Writable & { readonly isTTY?: boolean }) {
    this.isTerminal = stream.isTTY === true;
  }

  /** The interval at which to write progress. */
  get intervalMs(): number {
    return this.isTerminal ? TERMINAL_INTERVAL_MS : DEFAULT_INTERVAL_MS;
  }

  /** Writes a line that the next one overwrites on a terminal. */
  update(line: string): void {
    if (!this.isTerminal) {
      this.line(line);
      return;
    }
    this.stream.write(`${CLEAR_LINE}${line}`);
    this.lineIsOpen = true;
  }

  /** Writes a line that is not overwritten. */
  line(line: string): void {
    const clear = this.lineIsOpen ? CLEAR_LINE : '';
    this.stream.write(`${clear}${line}\n`);
    this.lineIsOpen = false;
  }
}
