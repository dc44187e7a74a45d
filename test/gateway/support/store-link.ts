/** The link of a simulated daemon to the store, whose state a test sets. */
import type { WatchAnswer } from '../../../src/shell/gateway/ports.js';
import type { VirtualTimers } from './virtual-timers.js';

const ROUND_TRIP_MS = 4;

/** What happens to calls on a link. */
export type LinkState = 'open' | 'silent' | 'refuses' | 'resets';

/** The link of one daemon to the store. */
export class StoreLink {
  calls = 0;
  #state: LinkState = 'open';
  /** How often calls under way were cut or left without an answer. */
  #cuts = 0;
  readonly #onCut = new Set<() => void>();
  readonly #timers: VirtualTimers;

  constructor(timers: VirtualTimers) {
    this.#timers = timers;
  }

  /** Sets the state; calls under way continue unless the link becomes silent or resets. */
  set(state: LinkState): void {
    this.#state = state;
    if (state === 'silent' || state === 'resets') this.#cuts += 1;
    for (const cut of [...this.#onCut]) cut();
  }

  async call<Value>(
    signal: AbortSignal,
    answer: () => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    this.calls += 1;
    const ended = new Promise<WatchAnswer<Value>>((resolve) => {
      const end = (reason: string) => resolve({ kind: 'failed', reason, wasRefused: false });
      if (signal.aborted) end('no answer');
      signal.addEventListener('abort', () => end('no answer'), { once: true });
      const cut = () => {
        if (this.#state === 'resets') end('reset');
      };
      this.#onCut.add(cut);
      signal.addEventListener('abort', () => this.#onCut.delete(cut), { once: true });
    });
    return Promise.race([ended, this.#passThrough(answer)]);
  }

  /** A call never gets an answer if the link is or becomes silent before the answer arrives. */
  async #passThrough<Value>(
    answer: () => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    const swallowed = new Promise<never>(() => undefined);
    await this.#pass(ROUND_TRIP_MS / 2);
    if (this.#state === 'refuses') {
      return { kind: 'failed', reason: 'status 503', wasRefused: true };
    }
    if (this.#state === 'resets') return { kind: 'failed', reason: 'reset', wasRefused: false };
    if (this.#state === 'silent') return swallowed;
    const cuts = this.#cuts;
    const given = await answer();
    await this.#pass(ROUND_TRIP_MS / 2);
    return this.#cuts === cuts ? given : swallowed;
  }

  #pass(spanMs: number): Promise<void> {
    return new Promise((resolve) => this.#timers.after(spanMs, resolve));
  }
}
