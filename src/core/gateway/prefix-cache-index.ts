/**
 * Index of the prompt parts that each engine is believed to have cached: from the engine's own cache events, and
 * from the reads that this daemon sent there. Entries without a cache event behind them expire.
 */
import { cachedPrefixTokens, type PromptPart } from './description.js';

/** Lifetime of an entry from a read that this daemon sent; a cache event of the engine replaces it. */
const UNCONFIRMED_TTL_MS = 20_000;
/** Lifetime of an entry from a relayed cache event, as the event that removes the part may be lost. */
const RELAYED_TTL_MS = 60_000;
/** Entries per engine; the oldest are evicted first. */
const MAX_PARTS_OF_ENGINE = 4_096;
/** Entries of all engines, some 16 MB; beyond it, engines with more than an equal share lose their oldest. */
const MAX_PARTS = 131_072;

/** How long the entry of an announced read is kept past the expected end of the read. */
const EXPECTED_READ_GRACE_MS = 4_000;

interface CachedPart {
  readonly tokens: number;
  /** Infinity when the engine itself reported the part. */
  readonly expiresAtMs: number;
  /** When the part can be fetched by another engine. */
  readonly readyAtMs: number;
}

/** Announces a read of a shared part that a daemon sent to an engine. */
export interface ReadNotice {
  readonly engineId: string;
  readonly part: PromptPart;
  /** Expected time until the part is cached there. */
  readonly readyInMs: number;
}

/** What is believed to be cached at all engines. */
export class PrefixCacheIndex {
  readonly #byEngine = new Map<string, Map<string, CachedPart>>();
  #size = 0;

  /** Entries of all engines. */
  get size(): number {
    return this.#size;
  }

  /** Records the engine's own report of how many tokens of a part it has cached; 0 after an eviction. */
  confirm(engineId: string, partId: string, tokens: number): void {
    this.#store(engineId, partId, {
      tokens,
      expiresAtMs: Number.POSITIVE_INFINITY,
      readyAtMs: 0,
    });
  }

  /** Records an engine's cache event that another daemon relayed. */
  confirmFromPeer(engineId: string, partId: string, tokens: number, nowMs: number): void {
    this.#store(engineId, partId, {
      tokens,
      expiresAtMs: nowMs + RELAYED_TTL_MS,
      readyAtMs: 0,
    });
  }

  /** Tokens of a part that the engine is believed to have cached, regardless of the parts before it. */
  tokensOf(engineId: string, partId: string): number {
    return this.#byEngine.get(engineId)?.get(partId)?.tokens ?? 0;
  }

  /** Records that a prompt was read at the engine or its KV cache transferred there. */
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

  /** Records that an engine is reading a part, so that following requests need not read it again. */
  expectRead({ engineId, part, readyInMs }: ReadNotice, nowMs: number): void {
    const known = this.#byEngine.get(engineId)?.get(part.id);
    const isKnown = known !== undefined && known.expiresAtMs >= nowMs;
    if (isKnown && known.tokens >= part.tokens) return;
    const readyAtMs = nowMs + readyInMs;
    const expiresAtMs = readyAtMs + EXPECTED_READ_GRACE_MS;
    this.#store(engineId, part.id, { tokens: part.tokens, expiresAtMs, readyAtMs });
  }

  /** Drops all entries of an engine. */
  forget(engineId: string): void {
    this.#size -= this.#byEngine.get(engineId)?.size ?? 0;
    this.#byEngine.delete(engineId);
  }

  /** Length of the prompt's prefix that the engine does not have to read. */
  cachedTokens(engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#tokens(engineId, parts, (part) => part.expiresAtMs >= nowMs);
  }

  /** Length of the prompt's prefix that another engine can fetch from there now. */
  transferableTokens(engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    const isTransferable = (part: CachedPart) =>
      part.expiresAtMs >= nowMs && part.readyAtMs <= nowMs;
    return this.#tokens(engineId, parts, isTransferable);
  }

  #tokens(
    engineId: string,
    parts: readonly PromptPart[],
    matches: (part: CachedPart) => boolean,
  ): number {
    const known = this.#byEngine.get(engineId);
    if (known === undefined) return 0;
    return cachedPrefixTokens(parts, (partId) => {
      const part = known.get(partId);
      return part === undefined || !matches(part) ? 0 : part.tokens;
    });
  }

  #store(engineId: string, partId: string, cached: CachedPart): void {
    const parts = this.#byEngine.get(engineId) ?? new Map<string, CachedPart>();
    this.#byEngine.set(engineId, parts);
    if (parts.delete(partId)) this.#size -= 1;
    if (cached.tokens <= 0) return;
    parts.set(partId, cached);
    this.#size += 1;
    if (parts.size > MAX_PARTS_OF_ENGINE) this.#evictOldest(parts);
    else if (this.#size > MAX_PARTS) this.#evictOldest(this.#largerThanShare(parts));
  }

  /** An engine's entries of which there are more than an equal share of all, those of `preferred` if possible. */
  #largerThanShare(preferred: Map<string, CachedPart>): Map<string, CachedPart> {
    const share = MAX_PARTS / this.#byEngine.size;
    if (preferred.size > share) return preferred;
    for (const parts of this.#byEngine.values()) if (parts.size > share) return parts;
    return preferred;
  }

  #evictOldest(parts: Map<string, CachedPart>): void {
    const oldest = parts.keys().next();
    if (oldest.done === true) return;
    parts.delete(oldest.value);
    this.#size -= 1;
  }
}
