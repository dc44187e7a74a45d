/** KV caches held between prefill and decode, each under a handle that expires. */
import type { PromptDescription } from './tokens.js';

/** A held KV cache, as one engine transfers it to another. */
export interface HeldKv {
  readonly prompt: PromptDescription;
  /** The version that prefilled the prompt, as in `system_fingerprint`. */
  readonly version: string;
  /** The name the caller used. */
  readonly name: string;
}

interface HandleEntry {
  readonly held: HeldKv;
  readonly expiresAt: number;
}

/** Held KV caches by handle, oldest first. */
export class KvHandles {
  readonly #ttlMs: number;
  readonly #prefix: string;
  readonly #entries = new Map<string, HandleEntry>();
  #counter = 0;
  #tokens = 0;

  /** @param prefix makes handles of different engines and boots distinct */
  constructor(prefix: string, ttlMs: number) {
    this.#prefix = prefix;
    this.#ttlMs = ttlMs;
  }

  /** Tokens of KV held. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Stores a KV cache and returns its handle. */
  hold(now: number, held: HeldKv): string {
    this.#counter += 1;
    const handle = `${this.#prefix}-kv${this.#counter}`;
    this.#entries.set(handle, { held, expiresAt: now + this.#ttlMs });
    this.#tokens += held.prompt.tokens;
    return handle;
  }

  /** The KV cache under a handle; null if the handle is unknown, released or expired. */
  read(now: number, handle: string): HeldKv | null {
    this.#expire(now);
    return this.#entries.get(handle)?.held ?? null;
  }

  /** Releases a handle and frees its KV. */
  release(handle: string): void {
    const entry = this.#entries.get(handle);
    if (entry === undefined) return;
    this.#entries.delete(handle);
    this.#tokens -= entry.held.prompt.tokens;
  }

  /** Releases the oldest handle; returns false if there is none. */
  releaseOldest(): boolean {
    const oldest = this.#entries.keys().next();
    if (oldest.done === true) return false;
    this.release(oldest.value);
    return true;
  }

  /** Releases all handles. */
  clear(): void {
    this.#entries.clear();
    this.#tokens = 0;
  }

  #expire(now: number): void {
    for (const [handle, entry] of this.#entries) {
      if (entry.expiresAt > now) break;
      this.release(handle);
    }
  }
}
