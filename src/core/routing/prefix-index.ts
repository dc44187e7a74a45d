/**
 * The prompt prefixes that engines have probably cached, from cache events, which may be late or
 * missing, and from this daemon's own dispatches. A performance hint only: correctness does not
 * depend on it.
 */
import type { BackendName } from '../common/identifiers.js';

/** One cache event of an engine. */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly hash: string;
}

/** Maximum number of hashes in each of the two generations; the older one is dropped completely. */
const MAX_GENERATION_HASHES = 32_768;
/** Maximum number of engines stored for one hash. */
const MAX_HOLDERS = 4;
/** Maximum number of engines returned for one prompt. */
const MAX_MATCHES = 4;
const NO_MATCHES: readonly PrefixMatch[] = [];
/**
 * The first blocks are all indexed; after them, `BLOCKS_PER_DOUBLING` per doubling of the length.
 */
const DENSE_BLOCKS = 16;
const BLOCKS_PER_DOUBLING = 8;
/** Blocks beyond this number are not indexed. */
const MAX_BLOCKS = 1_024;
/** The positions of the indexed blocks. Prefix lengths are known to within one eighth. */
const INDEXED_BLOCKS = computeIndexedBlocks();

/** The longest prefix of a prompt, in blocks, that an engine has probably cached. */
export interface PrefixMatch {
  readonly backend: BackendName;
  readonly blocks: number;
}

/**
 * The engines that cached a prefix. Most hashes have one holder, which is stored without a list.
 */
type Holders = BackendName | readonly BackendName[];

/**
 * Prefix holders by hash, of bounded size, in two generations. New hashes go into the young
 * generation. When that is full, it replaces the old generation, which drops the hashes that were
 * not stored again in the meantime. Updated in place by its owner.
 */
export class PrefixIndex {
  #young = new Map<string, Holders>();
  #old = new Map<string, Holders>();

  /** Applies cache events of an engine. */
  applyCacheEvents(backend: BackendName, events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.kind === 'stored') {
        this.#store(backend, event.hash);
      } else {
        removeHolder(this.#young, backend, event.hash);
        removeHolder(this.#old, backend, event.hash);
      }
    }
  }

  /** Records that a prompt was sent to an engine, which will soon have cached its prefix. */
  recordDispatch(backend: BackendName, hashes: readonly string[]): void {
    for (const block of INDEXED_BLOCKS) {
      const hash = hashes[block];
      if (hash === undefined) {
        return;
      }
      this.#store(backend, hash);
    }
  }

  /** Removes an engine from all hashes, after it restarted or left. */
  forget(backend: BackendName): void {
    removeHolderEverywhere(this.#young, backend);
    removeHolderEverywhere(this.#old, backend);
  }

  /**
   * The engines with the longest known prefixes of a prompt, longest first, at most `MAX_MATCHES`.
   */
  matches(hashes: readonly string[]): readonly PrefixMatch[] {
    const first = hashes[0];
    if (first === undefined || this.#holdersOf(first) === undefined) {
      return NO_MATCHES;
    }
    const found: PrefixMatch[] = [];
    for (let position = INDEXED_BLOCKS.length - 1; position >= 0; position -= 1) {
      const block = INDEXED_BLOCKS[position] ?? 0;
      const hash = hashes[block];
      const holders = hash === undefined ? undefined : this.#holdersOf(hash);
      if (holders !== undefined) {
        addMatches(found, holders, block + 1);
      }
      if (found.length >= MAX_MATCHES) {
        break;
      }
    }
    return found;
  }

  #holdersOf(hash: string): Holders | undefined {
    return this.#young.get(hash) ?? this.#old.get(hash);
  }

  #store(backend: BackendName, hash: string): void {
    const young = this.#young.get(hash);
    if (young === backend) {
      return;
    }
    const known = young ?? this.#old.get(hash);
    this.#young.set(hash, known === undefined ? backend : prependHolder(backend, known));
    if (this.#young.size >= MAX_GENERATION_HASHES) {
      this.#old = this.#young;
      this.#young = new Map();
    }
  }
}

function computeIndexedBlocks(): readonly number[] {
  const indexed: number[] = [];
  let step = 1;
  for (let block = 0; block < MAX_BLOCKS; block += step) {
    indexed.push(block);
    if (block + 1 >= DENSE_BLOCKS) {
      step = Math.max(1, Math.floor((block + 1) / BLOCKS_PER_DOUBLING));
    }
  }
  return indexed;
}

function addMatches(found: PrefixMatch[], holders: Holders, blocks: number): void {
  if (typeof holders === 'string') {
    addMatch(found, holders, blocks);
    return;
  }
  for (const backend of holders) {
    addMatch(found, backend, blocks);
  }
}

function addMatch(found: PrefixMatch[], backend: BackendName, blocks: number): void {
  if (found.length < MAX_MATCHES && !includesBackend(found, backend)) {
    found.push({ backend, blocks });
  }
}

function includesBackend(found: readonly PrefixMatch[], backend: BackendName): boolean {
  for (const match of found) {
    if (match.backend === backend) {
      return true;
    }
  }
  return false;
}

function prependHolder(backend: BackendName, holders: Holders): Holders {
  if (holders === backend || holders[0] === backend) {
    return holders;
  }
  const others = toList(holders).filter((holder) => holder !== backend);
  return [backend, ...others].slice(0, MAX_HOLDERS);
}

function toList(holders: Holders): readonly BackendName[] {
  return typeof holders === 'string' ? [holders] : holders;
}

function removeHolderEverywhere(generation: Map<string, Holders>, backend: BackendName): void {
  for (const hash of generation.keys()) {
    removeHolder(generation, backend, hash);
  }
}

function removeHolder(generation: Map<string, Holders>, backend: BackendName, hash: string): void {
  const holders = generation.get(hash);
  if (holders === undefined) {
    return;
  }
  const remaining = toList(holders).filter((holder) => holder !== backend);
  if (remaining.length === 0) {
    generation.delete(hash);
  } else {
    generation.set(hash, remaining);
  }
}
