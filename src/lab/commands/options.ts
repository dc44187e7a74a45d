/** Parses the values of flags; an invalid value is a usage error that names the flag. */
import { UsageError } from 'clipanion';
import type { Endpoint } from '../../core/registry/backend.js';
import { parseEndpoint } from '../../shell/settings/index.js';

/** Parses `IP:PORT`. */
export function endpointOption(flag: string, text: string): Endpoint {
  return parseEndpoint(text).match(
    (endpoint) => endpoint,
    (problem) => {
      throw new UsageError(`${flag} ${text}: ${problem}; give for example 127.0.0.1:0.`);
    },
  );
}

/** Parses a number within bounds. */
export function numberOption(flag: string, text: string, low: number, high: number): number {
  const value = text.trim() === '' ? Number.NaN : Number(text);
  if (value >= low && value <= high) return value;
  throw new UsageError(`${flag} ${text}: not a number from ${low} to ${high}.`);
}

/** Parses one of a set of words. */
export function choiceOption<Choice extends string>(
  flag: string,
  text: string,
  choices: readonly Choice[],
): Choice {
  const found = choices.find((choice) => choice === text);
  if (found !== undefined) return found;
  throw new UsageError(`${flag} ${text}: no such value; use one of ${choices.join(', ')}.`);
}
