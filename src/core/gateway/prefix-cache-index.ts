/**
 * What each engine is believed to keep of prompts: from its own cache news, and from what this
 * daemon has seen read there. A belief without news behind it is dropped after a time.
 */
import { cachedPrefixTokens, type PromptPart } from './description.js';

/** A belief from this daemon's own sends; an engine's news replaces it. */
const UNCONFIRMED_TTL_MS = 20_000;
/** A belief from news that another daemon passed on; the message that ends it may be lost. */
const PASSED_ON_TTL_MS = 60_000;
/** Beliefs kept for one engine; the oldest go first. */
const MAX_PARTS_OF_ENGINE = 4_096;

/** A read that was begun counts as done for this much longer than it was expected to take. */
const EXPECTED_TTL_MS = 4_000;

interface KeptPart {
  readonly tokens: number;
  /** Infinity when the engine itself said so. */
  readonly expiresAtMs: number;
  /** From then on another engine can take it. */
  readonly readyAtMs: number;
}

/** A part that an engine was asked to read. */
export interface ReadNotice {
  readonly engineId: string;
  readonly part: PromptPart;
  /** When it is expected to be there. */
  readonly readyInMs: number;
}

/** Beliefs on all engines' caches. */
export class PrefixCacheIndex {
  readonly #byEngine = new Map<string, Map<string, KeptPart>>();

  /** The engine itself says how much of a part it keeps now; 0 when it gave the part up. */
  confirm(engineId: string, partId: string, tokens: number): void {
    this.#store(engineId, partId, {
      tokens,
      expiresAtMs: Number.POSITIVE_INFINITY,
      readyAtMs: 0,
    });
  }

  /** Another daemon passed the engine's cache news on. */
  confirmFromPeer(engineId: string, partId: string, tokens: number, nowMs: number): void {
    this.#store(engineId, partId, {
      tokens,
      expiresAtMs: nowMs + PASSED_ON_TTL_MS,
      readyAtMs: 0,
    });
  }

  /** Tokens of a part that the engine is believed to keep, whatever comes before it. */
  tokensOf(engineId: string, partId: string): number {
    return this.#byEngine.get(engineId)?.get(partId)?.tokens ?? 0;
  }

  /** A prompt was read at, or moved to, the engine. */
  assume(engineId: string, parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      const known = this.#byEngine.get(engineId)?.get(part.id);
      const isConfirmed = known?.expiresAtMs === Number.POSITIVE_INFINITY;
      if (isConfirmed && known.tokens >= part.tokens) continue;
      this.#store(engineId, part.id, {
        tokens: part.tokens,
        expiresAtMs: nowMs + UNCONFIRMED_TTL_MS,
        readyAtMs: 0,
      });
    }
  }

  /** An engine begins to read a part: the next request for it need not read it again. */
  expectRead({ engineId, part, readyInMs }: ReadNotice, nowMs: number): void {
    const known = this.#byEngine.get(engineId)?.get(part.id);
    const isKnown = known !== undefined && known.expiresAtMs >= nowMs;
    if (isKnown && known.tokens >= part.tokens) return;
    const readyAtMs = nowMs + readyInMs;
    const expiresAtMs = readyAtMs + EXPECTED_TTL_MS;
    this.#store(engineId, part.id, { tokens: part.tokens, expiresAtMs, readyAtMs });
  }

  /** Forgets an engine, or all that was known of its cache. */
  forget(engineId: string): void {
    this.#byEngine.delete(engineId);
  }

  /** Tokens of the prompt's beginning that the engine need not read. */
  cachedTokens(engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#tokens(engineId, parts, (part) => part.expiresAtMs >= nowMs);
  }

  /** Tokens of the prompt's beginning that another engine can take from there now. */
  transferableTokens(engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    const isThere = (part: KeptPart) => part.expiresAtMs >= nowMs && part.readyAtMs <= nowMs;
    return this.#tokens(engineId, parts, isThere);
  }

  #tokens(
    engineId: string,
    parts: readonly PromptPart[],
    counts: (part: KeptPart) => boolean,
  ): number {
    const known = this.#byEngine.get(engineId);
    if (known === undefined) return 0;
    return cachedPrefixTokens(parts, (partId) => {
      const part = known.get(partId);
      return part === undefined || !counts(part) ? 0 : part.tokens;
    });
  }

  #store(engineId: string, partId: string, kept: KeptPart): void {
    const parts = this.#byEngine.get(engineId) ?? new Map<string, KeptPart>();
    this.#byEngine.set(engineId, parts);
    parts.delete(partId);
    if (kept.tokens <= 0) return;
    parts.set(partId, kept);
    if (parts.size <= MAX_PARTS_OF_ENGINE) return;
    const oldest = parts.keys().next();
    if (oldest.done !== true) parts.delete(oldest.value);
  }
}
