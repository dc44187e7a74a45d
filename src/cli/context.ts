/** The environment in which the command line runs. */
import type { BaseContext } from 'clipanion';

/** Streams and environment variables; tests pass their own. */
export interface CliContext extends BaseContext {
  /** Whether standard output is a terminal. Colours are used only on a terminal. */
  readonly isTerminal: boolean;
}

/** Whether to print in colour: on a terminal, unless NO_COLOR is set and not empty. */
export function usesColors(context: CliContext): boolean {
  const { NO_COLOR: noColor } = context.env;
  return context.isTerminal && (noColor === undefined || noColor === '');
}
