/**
 * Passes engines' cache news on to daemons that do not ask for them: gathered for a while, in messages of one packet, within a
 * budget of bytes.
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
 * News within this time go in one message. A read is told as it begins, and that is believed for four seconds, so news
 * of it may come later.
 */
const NEWS_GAP_MS = 1_000;
/**
 * Cache news, to each peer of the own zone: about one packet a second. Where caches turn over fast there is far more
 * news than comes to use, and each packet costs more than it holds (22 daemons in a zone sent each other 75 to 350
 * packets a second each, up to a fifth of their processor time, and loads were told half as often for want of bytes).
 */
const NEWS_BUDGET_OF_PEER = { bytesPerSecond: 1_024, burstBytes: 4_096 };

/** What a teller is built from. */
export interface CacheEventPublisherOptions {
  readonly daemon: string;
  readonly roster: Pick<PeerRoster, 'zonePeers'>;
  readonly timers: TimerService;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** One daemon's telling of cache news. */
export class CacheEventPublisher {
  readonly #options: CacheEventPublisherOptions;
  readonly #budget: ByteBudget;
  readonly #waiting = new Map<PeerDaemon['name'], EngineCacheEvents[]>();
  #cancel: CancelTimer | undefined;

  constructor(options: CacheEventPublisherOptions) {
    this.#options = options;
    this.#budget = new ByteBudget(NEWS_BUDGET_OF_PEER, options.timers);
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Tells some daemons soon. */
  forward(news: EngineCacheEvents, peers: readonly PeerDaemon[]): void {
    for (const { name } of peers) {
      const waiting = this.#waiting.get(name);
      if (waiting === undefined) this.#waiting.set(name, [news]);
      else waiting.push(news);
    }
    this.#cancel ??= this.#options.timers.after(NEWS_GAP_MS, () => {
      this.#cancel = undefined;
      this.#tell();
    });
  }

  #tell(): void {
    const { daemon, roster, send } = this.#options;
    const zonePeers = roster.zonePeers();
    for (const peer of zonePeers) {
      const waiting = this.#waiting.get(peer.name);
      if (waiting === undefined) continue;
      for (const news of partNews(waiting)) {
        const bytes = encodePeerMessage({ kind: 'news', daemon, news });
        const shareOfBudget = datagramWireBytes(bytes) / zonePeers.length;
        if (this.#budget.tryTake(shareOfBudget)) send([peer], bytes);
      }
    }
    this.#waiting.clear();
  }
}

/** Parts news into messages that stay within one packet. */
function partNews(
  waiting: readonly EngineCacheEvents[],
): readonly (readonly EngineCacheEvents[])[] {
  const messages: EngineCacheEvents[][] = [];
  let room = 0;
  for (const { engineId, isReset, events } of waiting) {
    for (let first = 0; first === 0 || first < events.length; ) {
      if (room <= 0) {
        messages.push([]);
        room = MAX_ENTRIES_PER_MESSAGE;
      }
      const part = events.slice(first, first + room);
      messages.at(-1)?.push({ engineId, isReset: isReset && first === 0, events: part });
      first += Math.max(1, part.length);
      room -= part.length + 1;
    }
  }
  return messages;
}
