/** Generates prompt texts from a few numbers, so that a request can be described without its text. */
import { Random } from './random.js';

/** A word has three letters and a space: four characters, which is one token. */
const LETTERS = 'abcdefghijklmnopqrstuvwxyz';
const LETTERS_PER_WORD = 3;
const MAX_WORD_NUMBER = LETTERS.length ** LETTERS_PER_WORD - 1;

/** Describes a prompt's text. */
export interface PromptDescription {
  /** Total length in tokens, including the prefix; at least `prefixTokens + 1`. */
  readonly tokens: number;
  /** The seed of the shared prefix; null when there is none. */
  readonly prefixSeed: number | null;
  readonly prefixTokens: number;
  /** The seed of the text after the prefix. */
  readonly seed: number;
}

const PREFIX_STREAM = 1;
const SUFFIX_STREAM = 2;

/** The text of a prompt: the shared prefix, then the unique suffix. */
export function promptText(prompt: PromptDescription): string {
  const prefix =
    prompt.prefixSeed === null
      ? ''
      : words(new Random(prompt.prefixSeed, PREFIX_STREAM), prompt.prefixTokens);
  const suffixTokens = prompt.tokens - (prompt.prefixSeed === null ? 0 : prompt.prefixTokens);
  return prefix + words(new Random(prompt.seed, SUFFIX_STREAM), suffixTokens);
}

function words(random: Random, count: number): string {
  let text = '';
  for (let n = 0; n < count; n += 1) text += word(random.integer(0, MAX_WORD_NUMBER));
  return text;
}

function word(number: number): string {
  const size = LETTERS.length;
  const first = LETTERS[number % size];
  const second = LETTERS[Math.floor(number / size) % size];
  return `${first}${second}${LETTERS[Math.floor(number / (size * size))]} `;
}
