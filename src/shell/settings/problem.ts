/**
 * A problem in a settings file or in the flags, formatted as one line with its remedy.
 */

/** A setting that can't be used. */
export interface SettingsProblem {
  /** The file's path, or the flag, that the value came from. */
  readonly source: string;
  /** The line in the file, counted from 1; null if the value does not come from a file. */
  readonly line: number | null;
  /** The key in dotted form, for example `listen.callers`; empty for the whole file. */
  readonly key: string;
  /** The value found, in a few words. */
  readonly found: string;
  readonly remedy: string;
}

/** One line with the location, the key, the value found and the remedy. */
export function formatProblem(problem: SettingsProblem): string {
  const place = problem.line === null ? problem.source : `${problem.source}:${problem.line}`;
  const key = problem.key === '' ? '' : ` ${problem.key}:`;
  return `${place}:${key} found ${problem.found}; ${problem.remedy}`;
}

const MAX_SHOWN_LENGTH = 60;

/** Describes a value briefly. Keys and tokens are never shown. */
export function describeFound(value: unknown, isSecret: boolean): string {
  if (value === undefined || value === null) return 'nothing';
  if (isSecret) return 'a value that is not shown';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a mapping';
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_LENGTH ? `${text.slice(0, MAX_SHOWN_LENGTH)}…` : text;
}
