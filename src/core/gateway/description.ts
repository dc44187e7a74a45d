/**
 * What a caller states of a request beside its opaque body. Nothing here is read from the body.
 */

/** A part of a prompt, in order; equal ids are equal text, which engines may keep. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A described request. */
export interface RequestDescription {
  /** Chosen by the caller, new with each of its attempts. */
  readonly attemptId: string;
  /** How long the caller waits; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Tokens of the leading parts that `cachedTokens` says are kept, in order until the first that is not. */
export function cachedPrefixTokens(
  parts: readonly PromptPart[],
  cachedTokens: (partId: string) => number,
): number {
  let total = 0;
  for (const part of parts) {
    const kept = Math.min(part.tokens, cachedTokens(part.id));
    total += kept;
    if (kept < part.tokens) break;
  }
  return total;
}

/** The longest part that other requests may have too: any but the last, which is the request's own. */
export function sharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
  let longest: PromptPart | undefined;
  for (const part of parts.slice(0, -1)) {
    if (longest === undefined || part.tokens > longest.tokens) longest = part;
  }
  return longest;
}
