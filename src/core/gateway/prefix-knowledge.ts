/**
 * What each engine is believed to keep of prompts: from its own cache news, and from what this
 * daemon has seen read there. A belief without news behind it is dropped after a time.
 */
import { keptPrefixTokens, type PromptPart } from './description.js';

/** A belief from this daemon's own sends; an engine's news replaces it. */
const UNCONFIRMED_TTL_MS = 20_000;
/** A belief from news that another daemon passed on; the message that ends it may be lost. */
const PASSED_ON_TTL_MS = 60_000;
/** Beliefs kept for one engine; the oldest go first. */
const MAX_PARTS_OF_ENGINE = 4_096;

interface KeptPart {
  readonly tokens: number;
  /** Infinity when the engine itself said so. */
  readonly expiresAtMs: number;
}

/** Beliefs on all engines' caches. */
export class PrefixKnowledge {
  readonly #byEngine = new Map<string, Map<string, KeptPart>>();

  /** The engine itself says how much of a part it keeps now; 0 when it gave the part up. */
  confirm(engineId: string, partId: string, tokens: number): void {
    this.#store(engineId, partId, { tokens, expiresAtMs: Number.POSITIVE_INFINITY });
  }

  /** Another daemon passed the engine's word on. */
  confirmFromPeer(engineId: string, partId: string, tokens: number, nowMs: number): void {
    this.#store(engineId, partId, { tokens, expiresAtMs: nowMs + PASSED_ON_TTL_MS });
  }

  /** Tokens of a part that the engine is believed to keep, whatever comes before it. */
  tokensOf(engineId: string, partId: string): number {
    return this.#byEngine.get(engineId)?.get(partId)?.tokens ?? 0;
  }

  /** A prompt was read at, or moved to, the engine. */
  assume(engineId: string, parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      const known = this.#byEngine.get(engineId)?.get(part.id);
      if (known !== undefined && known.tokens >= part.tokens) continue;
      this.#store(engineId, part.id, {
        tokens: part.tokens,
        expiresAtMs: nowMs + UNCONFIRMED_TTL_MS,
      });
    }
  }

  /** Forgets an engine, or all that was known of its cache. */
  forget(engineId: string): void {
    this.#byEngine.delete(engineId);
  }

  /** Tokens of the prompt's beginning that the engine need not read. */
  keptTokens(engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    const known = this.#byEngine.get(engineId);
    if (known === undefined) return 0;
    return keptPrefixTokens(parts, (partId) => {
      const part = known.get(partId);
      return part === undefined || part.expiresAtMs < nowMs ? 0 : part.tokens;
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
