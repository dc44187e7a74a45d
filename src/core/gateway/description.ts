/**
 * What a caller states about a request in addition to its opaque body. None of it is read from the body.
 */

/** A part of a prompt, in order; parts with equal ids have equal text, which engines may have cached. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request that continues a stream after the last event that its caller has received. */
export interface StreamResumption {
  /** The caller's attempt that brought the first event of the stream; undefined if the caller does not state it. */
  readonly streamId: string | undefined;
}

/** The caller's description of a request. */
export interface RequestDescription {
  /** Chosen by the caller, unique to each of its attempts. */
  readonly attemptId: string;
  /** How long the caller waits; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Undefined for a request that begins anew. */
  readonly resumption?: StreamResumption | undefined;
}

/** Length of the cached prefix: cached tokens of the leading parts, including the first incomplete one. */
export function cachedPrefixTokens(
  parts: readonly PromptPart[],
  cachedTokens: (partId: string) => number,
): number {
  let total = 0;
  for (const part of parts) {
    const cached = Math.min(part.tokens, cachedTokens(part.id));
    total += cached;
    if (cached < part.tokens) break;
  }
  return total;
}

/** The longest part that other requests may share: any but the last, which is the request's own. */
export function sharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
  let longest: PromptPart | undefined;
  for (const part of parts.slice(0, -1)) {
    if (longest === undefined || part.tokens > longest.tokens) longest = part;
  }
  return longest;
}
