/** The prefix cache: KV of prompt prefix blocks, with least-recently-used eviction. */
import { PREFIX_BLOCK_CHARACTERS } from '../../core/common/prefix-blocks.js';
import { CHARACTERS_PER_TOKEN } from './tokens.js';

/** Prompt tokens in one block. */
const TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** A change of the cache's content. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly hash: string;
}

/**
 * An LRU cache of blocks. The namespace (model name and version) keeps the KV of different models
 * apart; the published hashes do not contain it.
 */
export class PrefixCache {
  readonly #capacityBlocks: number;
  /** Hashes by key, least recently used first. */
  readonly #blocks = new Map<string, string>();

  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** The number of leading prompt tokens whose KV is cached. Marks their blocks as used. */
  cachedTokens(namespace: string, hashes: readonly string[]): number {
    let held = 0;
    for (const hash of hashes) {
      if (!this.#blocks.has(keyOf(namespace, hash))) break;
      held += 1;
    }
    this.#touch(namespace, hashes.slice(0, held));
    return held * TOKENS_PER_BLOCK;
  }

  /** Stores a prompt's blocks and returns the changes. */
  store(namespace: string, hashes: readonly string[]): CacheChange[] {
    const kept = hashes.slice(0, this.#capacityBlocks);
    const changes: CacheChange[] = [];
    for (const hash of kept) {
      if (!this.#blocks.has(keyOf(namespace, hash))) changes.push({ kind: 'stored', hash });
    }
    this.#touch(namespace, kept);
    return [...changes, ...this.#evictExcess()];
  }

  /** Evicts all blocks and returns the changes. */
  clear(): CacheChange[] {
    const changes = [...this.#blocks.values()].map((hash) => ({ kind: 'evicted' as const, hash }));
    this.#blocks.clear();
    return changes;
  }

  /** Marks the last block first, so that a block is evicted before the blocks that precede it. */
  #touch(namespace: string, hashes: readonly string[]): void {
    for (const hash of [...hashes].reverse()) {
      const key = keyOf(namespace, hash);
      this.#blocks.delete(key);
      this.#blocks.set(key, hash);
    }
  }

  #evictExcess(): CacheChange[] {
    const changes: CacheChange[] = [];
    for (const [key, hash] of this.#blocks) {
      if (this.#blocks.size <= this.#capacityBlocks) break;
      this.#blocks.delete(key);
      changes.push({ kind: 'evicted', hash });
    }
    return changes;
  }
}

function keyOf(namespace: string, hash: string): string {
  return `${namespace} ${hash}`;
}
