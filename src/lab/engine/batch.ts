/**
 * Continuous batching: the waiting queue ordered by priority, the running batch, and the plan of
 * each step. Prompts are prefilled in chunks together with the decoding sequences. When KV memory runs
 * out, the sequence of lowest priority is preempted; its KV is recomputed later.
 */
import type { AttemptId } from '../../core/common/identifiers.js';
import type { PromptDescription } from './tokens.js';

/** One accepted request. Mutable; owned by the batch. */
export interface Sequence {
  readonly attempt: AttemptId;
  /** 0 (first) to 9 (last). */
  readonly priority: number;
  /** Sequence number of acceptance. */
  readonly arrival: number;
  readonly prompt: PromptDescription;
  /** The model version that generates the output, as in `system_fingerprint`. */
  readonly version: string;
  /** The name the caller used. */
  readonly name: string;
  readonly mode: 'completion' | 'prefill';
  readonly streamed: boolean;
  /** The offset after the last output token. */
  readonly endOffset: number;
  /** The offset of the next output token. */
  offset: number;
  /** Tokens whose KV is resident; above 0 for a waiting sequence only if its KV was handed over. */
  computed: number;
  /** Tokens whose KV must be resident before the next output token. */
  target: number;
  /** Excluded from steps because its reader is slow. */
  paused: boolean;
  /** Finished, cancelled or cut. */
  ended: boolean;
}

/** The work of one step. */
export interface StepPlan {
  readonly work: readonly StepWork[];
  readonly prefillTokens: number;
  readonly decodeSequences: number;
  readonly residentTokens: number;
}

/** The work of one sequence in a step. */
export interface StepWork {
  readonly sequence: Sequence;
  /** Tokens whose KV the step computes. */
  readonly tokens: number;
  readonly phase: 'prefill' | 'decode';
}

/** The KV memory operations that the batch needs. */
export interface BatchMemory {
  /** KV tokens that running sequences may use now. */
  available(): number;
  /** Frees KV memory outside the batch; returns false if there is none to free. */
  reclaim(): boolean;
  /** Leading tokens of a sequence that the prefix cache holds. Called at admission. */
  cachedTokens(sequence: Sequence): number;
}

/** The waiting queue and the running batch. */
export class Batch {
  readonly #maxBatch: number;
  readonly #memory: BatchMemory;
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];

  constructor(maxBatch: number, memory: BatchMemory) {
    this.#maxBatch = maxBatch;
    this.#memory = memory;
  }

  get waiting(): readonly Sequence[] {
    return this.#waiting;
  }

  get running(): readonly Sequence[] {
    return this.#running;
  }

  /** Requests accepted and not ended. */
  get active(): number {
    return this.#waiting.length + this.#running.length;
  }

  /** Tokens of accepted requests that still have to be prefilled. */
  queuedPrefillTokens(): number {
    let tokens = 0;
    for (const sequence of this.#waiting) tokens += missingTokens(sequence);
    for (const sequence of this.#running) tokens += missingTokens(sequence);
    return tokens;
  }

  /** Tokens whose KV is resident. */
  residentTokens(): number {
    return this.#running.reduce((sum, sequence) => sum + sequence.computed, 0);
  }

  /** KV tokens that running sequences hold or will hold after prefill, plus those of waiting ones. */
  reservedTokens(): number {
    const running = this.#running.reduce((sum, sequence) => sum + reserved(sequence), 0);
    return this.#waiting.reduce((sum, sequence) => sum + sequence.computed, running);
  }

  /** Inserts a sequence into the waiting queue. */
  add(sequence: Sequence): void {
    const place = this.#waiting.findIndex((other) => comesBefore(sequence, other));
    this.#waiting.splice(place === -1 ? this.#waiting.length : place, 0, sequence);
  }

  /** Finds an active sequence. */
  find(attempt: AttemptId): Sequence | undefined {
    const matches = (sequence: Sequence): boolean => sequence.attempt === attempt;
    return this.#running.find(matches) ?? this.#waiting.find(matches);
  }

  /** Removes a sequence from the queue or the batch. */
  remove(sequence: Sequence): void {
    sequence.ended = true;
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Removes and returns all sequences. */
  clear(): Sequence[] {
    const all = [...this.#running, ...this.#waiting];
    for (const sequence of all) sequence.ended = true;
    this.#running = [];
    this.#waiting = [];
    return all;
  }

  /** Plans the next step; null if there is no work. */
  plan(chunkTokens: number): StepPlan | null {
    this.#makeRoomForDecode();
    this.#admit();
    const work: StepWork[] = [];
    for (const sequence of this.#running) {
      if (isDecoding(sequence)) work.push({ sequence, tokens: 1, phase: 'decode' });
    }
    const decodeSequences = work.length;
    const prefillTokens = this.#planPrefill(work, Math.max(1, chunkTokens - decodeSequences));
    if (work.length === 0) return null;
    return { work, prefillTokens, decodeSequences, residentTokens: this.residentTokens() };
  }

  #planPrefill(work: StepWork[], budget: number): number {
    let left = budget;
    for (const sequence of this.#running) {
      const missing = missingTokens(sequence);
      if (missing === 0 || sequence.paused) continue;
      if (left === 0) break;
      const tokens = Math.min(missing, left);
      work.push({ sequence, tokens, phase: 'prefill' });
      left -= tokens;
    }
    return budget - left;
  }

  #makeRoomForDecode(): void {
    while (this.#running.length > 1 && this.#reservedAfterDecode() > this.#memory.available()) {
      if (this.#memory.reclaim()) continue;
      this.#preemptLast();
    }
  }

  #reservedAfterDecode(): number {
    return this.reservedTokens() + this.#running.filter(isDecoding).length;
  }

  #preemptLast(): void {
    const last = this.#running.reduce((left, right) => (comesBefore(left, right) ? right : left));
    this.#running = this.#running.filter((other) => other !== last);
    last.computed = 0;
    last.target = last.prompt.tokens + last.offset;
    this.add(last);
  }

  #admit(): void {
    while (this.#running.length < this.#maxBatch) {
      const next = this.#waiting[0];
      if (next === undefined) return;
      if (!this.#fits(next)) return;
      this.#waiting.shift();
      next.computed = Math.max(next.computed, this.#memory.cachedTokens(next));
      this.#running.push(next);
    }
  }

  /** A sequence that would run alone is always admitted, so that it cannot wait forever. */
  #fits(sequence: Sequence): boolean {
    const missing = sequence.target + 1 - sequence.computed;
    const needed = (): number => this.#reservedAfterDecode() + missing;
    if (needed() <= this.#memory.available()) return true;
    if (this.#running.length > 0) return false;
    while (needed() > this.#memory.available() && this.#memory.reclaim());
    return true;
  }
}

function isDecoding(sequence: Sequence): boolean {
  return sequence.computed >= sequence.target && !sequence.paused;
}

function missingTokens(sequence: Sequence): number {
  return Math.max(0, sequence.target - sequence.computed);
}

function reserved(sequence: Sequence): number {
  return Math.max(sequence.target, sequence.computed);
}

function comesBefore(left: Sequence, right: Sequence): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.arrival < right.arrival;
}
