/**
 * The emulated model's tokens. Output is a pure function of model, version, adapter, prompt and
 * sampling seed. Each position has its own word, so that a check of the text detects a lost,
 * duplicated or foreign token.
 */

import { avalanche, EMPTY_HASH, type Hash64, hashText } from '../../core/common/hash.js';
import type { AdapterName, ModelName } from '../../core/common/identifiers.js';
import { prefixBlockHashes } from '../../core/common/prefix-blocks.js';

/** Prompt characters that make up one token, on average, in the emulated tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Maximum number of blocks of a prompt in the prefix cache; later blocks are always recomputed. */
const MAX_CACHED_BLOCKS = 1_024;

const SYLLABLES =
  'ba be bi bo bu da de di do du fa fe fi fo fu ga ge gi go gu ka ke ki ko ku la le li lo lu ma me mi mo mu na ne ni no nu pa pe pi po pu ra re ri ro ru sa se si so su ta te ti to tu va ve vi vo'.split(
    ' ',
  );
const SYLLABLES_PER_WORD = 4;
const SYLLABLE_BITS = 6;

/** What the output of a request depends on, besides the prompt. */
export interface OutputSource {
  readonly model: ModelName;
  /** As an answer's `system_fingerprint` states it: `<model version>[+<adapter version>]`. */
  readonly version: string;
  readonly adapter: AdapterName | null;
  /** The body's `seed`; 0 when absent. */
  readonly samplingSeed?: number;
}

/** What the engine model needs of a prompt; the simulation can create one without any text. */
export interface PromptDescription {
  readonly tokens: number;
  /** Identifies the output that follows the prompt. */
  readonly digest: Hash64;
  /** The prefix blocks of docs/ENGINE-API.md. */
  readonly blockHashes: readonly string[];
}

/** A message of a chat request, reduced to its text. */
export interface ChatMessage {
  readonly content: string;
}

/** The prompt of a chat request. */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  return messages.map((message) => message.content).join('\n');
}

/** The number of tokens of a prompt, at least 1. */
function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/** The digest that determines the model's output for a prompt. */
export function outputDigest(source: OutputSource, prompt: string): Hash64 {
  const { model, version, adapter, samplingSeed = 0 } = source;
  const seed = hashText(EMPTY_HASH, `${model}\n${version}\n${adapter ?? ''}\n${samplingSeed}\n`);
  return hashText(seed, prompt);
}

/** Describes a prompt for `EngineModel.submit`. */
export function describePrompt(source: OutputSource, prompt: string): PromptDescription {
  return {
    tokens: countPromptTokens(prompt),
    digest: outputDigest(source, prompt),
    blockHashes: prefixBlockHashes(prompt, MAX_CACHED_BLOCKS),
  };
}

/** The output token at an offset, with a leading space except at offset 0. */
export function tokenAt(digest: Hash64, offset: number): string {
  let bits = avalanche(digest.low ^ avalanche((digest.high + offset) >>> 0));
  let word = offset === 0 ? '' : ' ';
  for (let place = 0; place < SYLLABLES_PER_WORD; place += 1) {
    word += SYLLABLES[bits % SYLLABLES.length];
    bits >>>= SYLLABLE_BITS;
  }
  return word;
}

/** The first `count` output tokens that an engine must produce. */
export function expectedTokens(
  request: OutputSource & { readonly prompt: string; readonly count: number },
): string[] {
  const digest = outputDigest(request, request.prompt);
  return Array.from({ length: request.count }, (_, offset) => tokenAt(digest, offset));
}
