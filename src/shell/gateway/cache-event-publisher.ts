/**
 * Forwards cache events of engines to daemons that do not poll those engines themselves: batched, in messages of one
 * packet each, within a byte budget.
 */
import type { PeerDaemon, PeerRoster } from '../../core/gateway/index.js';
import { ByteBudget, datagramWireBytes } from './byte-budget.js';
import {
  type EngineCacheEvents,
  encodePeerMessage,
  MAX_ENTRIES_PER_MESSAGE,
} from './peer-messages.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/**
 * Events within this interval go in one message. The delay is harmless: a prefill is advertised when it begins and counts
 * as cached for four seconds, so its cache event may arrive later.
 */
const PUBLISH_INTERVAL_MS = 1_000;
/**
 * About one packet a second to each peer of the own zone. Where cache contents change fast, there are far more events
 * than are of use, and a packet costs more than its content is worth: without this budget, 22 daemons in a zone sent each
 * other 75 to 350 packets a second each, which took up to a fifth of their processor time, and load reports went out half
 * as often for lack of bytes.
 */
const BUDGET_PER_PEER = { bytesPerSecond: 1_024, burstBytes: 4_096 };

/** Options of a `CacheEventPublisher`. */
export interface CacheEventPublisherOptions {
  readonly daemon: string;
  readonly roster: Pick<PeerRoster, 'zonePeers'>;
  readonly timers: TimerService;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** Sends the cache events that one daemon collects to peers of its zone. */
export class CacheEventPublisher {
  readonly #options: CacheEventPublisherOptions;
  readonly #budget: ByteBudget;
  readonly #pending = new Map<PeerDaemon['name'], EngineCacheEvents[]>();
  #cancel: CancelTimer | undefined;

  constructor(options: CacheEventPublisherOptions) {
    this.#options = options;
    this.#budget = new ByteBudget(BUDGET_PER_PEER, options.timers);
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Queues events for some peers; they go out with the next message. */
  forward(update: EngineCacheEvents, peers: readonly PeerDaemon[]): void {
    for (const { name } of peers) {
      const pending = this.#pending.get(name);
      if (pending === undefined) this.#pending.set(name, [update]);
      else pending.push(update);
    }
    this.#cancel ??= this.#options.timers.after(PUBLISH_INTERVAL_MS, () => {
      this.#cancel = undefined;
      this.#publish();
    });
  }

  #publish(): void {
    const { daemon, roster, send } = this.#options;
    const zonePeers = roster.zonePeers();
    for (const peer of zonePeers) {
      const pending = this.#pending.get(peer.name);
      if (pending === undefined) continue;
      for (const news of splitIntoMessages(pending)) {
        const bytes = encodePeerMessage({ kind: 'news', daemon, news });
        const shareOfBudget = datagramWireBytes(bytes) / zonePeers.length;
        if (this.#budget.tryTake(shareOfBudget)) send([peer], bytes);
      }
    }
    this.#pending.clear();
  }
}

/** Splits events into messages that each fit one packet. */
function splitIntoMessages(
  pending: readonly EngineCacheEvents[],
): readonly (readonly EngineCacheEvents[])[] {
  const messages: EngineCacheEvents[][] = [];
  let entriesLeft = 0;
  for (const { engineId, isReset, events } of pending) {
    for (let first = 0; first === 0 || first < events.length; ) {
      if (entriesLeft <= 0) {
        messages.push([]);
        entriesLeft = MAX_ENTRIES_PER_MESSAGE;
      }
      const part = events.slice(first, first + entriesLeft);
      messages.at(-1)?.push({ engineId, isReset: isReset && first === 0, events: part });
      first += Math.max(1, part.length);
      entriesLeft -= part.length + 1;
    }
  }
  return messages;
}
