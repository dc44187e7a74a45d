/**
 * Which engines are thought to hold which prompt prefixes, from late and gappy cache events and
 * from this daemon's own dispatches. A hint for speed only: nothing depends on it being true.
 */
import type { BackendName } from '../common/identifiers.js';

/** One cache event of an engine. */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly hash: string;
}

/** Hashes in one of the two generations at most; the older generation is forgotten whole. */
const MAX_GENERATION_HASHES = 32_768;
/** Engines remembered for one hash at most. */
const MAX_HOLDERS = 4;
/** Engines named for one prompt at most. */
const MAX_MATCHES = 4;
const NO_MATCHES: readonly PrefixMatch[] = [];
/** Every block up to this one is looked at; of later ones, this many of each doubling. */
const DENSE_BLOCKS = 16;
const BLOCKS_PER_DOUBLING = 8;
/** Blocks beyond this one are not looked at. */
const MAX_BLOCKS = 1_024;
/** The blocks that are stored and looked up: a prefix is known to an eighth of its length. */
const INDEXED_BLOCKS = computeIndexedBlocks();

/** A prompt's longest prefix, in blocks, that an engine is thought to hold. */
export interface PrefixMatch {
  readonly backend: BackendName;
  readonly blocks: number;
}

/** Most hashes have one holder; a list is kept only for those that have more. */
type Holders = BackendName | readonly BackendName[];

/**
 * Prefix holders by hash, bounded. Kept in two generations: what is stored goes into the young one;
 * when that is full it becomes the old one, and what was not stored again since is forgotten.
 * Updated in place by its owner.
 */
export class PrefixIndex {
  #young = new Map<string, Holders>();
  #old = new Map<string, Holders>();

  /** Takes over cache events of an engine. */
  apply(backend: BackendName, events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.kind === 'stored') {
        this.#store(backend, event.hash);
      } else {
        removeHolder(this.#young, backend, event.hash);
        removeHolder(this.#old, backend, event.hash);
      }
    }
  }

  /** Notes that a prompt was sent to an engine, which will soon hold its prefix. */
  dispatched(backend: BackendName, hashes: readonly string[]): void {
    for (const block of INDEXED_BLOCKS) {
      const hash = hashes[block];
      if (hash === undefined) {
        return;
      }
      this.#store(backend, hash);
    }
  }

  /** Forgets what an engine held, after it restarted or left. */
  forget(backend: BackendName): void {
    removeHolderEverywhere(this.#young, backend);
    removeHolderEverywhere(this.#old, backend);
  }

  /** The engines with the longest known prefix of a prompt, longest first, few of them. */
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
