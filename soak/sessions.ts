/**
 * Callers that send one request after another, each on a connection of its own that it keeps until the process behind it
 * is gone or closes it.
 */
import http from 'node:http';
import type { GatewayProcess } from './gateway-process.js';
import type { SessionTraits } from './plan.js';
import type { CallConnection, RequestClass } from './record.js';
import { askForStream } from './response-bodies.js';

/** What callers need of a daemon. */
export type CalledDaemon = Pick<
  GatewayProcess,
  'name' | 'host' | 'port' | 'incarnation' | 'isRunning' | 'isReady'
>;

/** What a request asks for. */
export interface RequestSize {
  readonly outputTokens: number;
  readonly announcedTokens: number;
  readonly body: string;
  /** Time until its caller leaves. */
  readonly forMs: number;
}

/** Streams by how many tokens they have, with the share of each kind. */
const STREAM_LENGTHS = [
  { share: 0.15, minTokens: 2, maxTokens: 10 },
  { share: 0.4, minTokens: 20, maxTokens: 60 },
  { share: 0.45, minTokens: 130, maxTokens: 220 },
] as const;
const MIN_STREAM_DEADLINE_MS = 5_000;
const MAX_STREAM_DEADLINE_MS = 15_000;
/** Share of the streams whose deadline is so early that it fits into a stop. */
const SHORT_DEADLINE_SHARE = 0.4;
const MAX_SHORT_DEADLINE_MS = 6_000;
const WEB_DEADLINE_MS = 3_000;
/** Share of the streams that have more tokens than they announce. */
const LONGER_SHARE = 0.5;
const MIN_ANNOUNCED_SHARE = 0.05;
const MAX_ANNOUNCED_SHARE = 0.5;
const BODY = 'what does this label say?';
const MIN_PAUSE_MS = 2;
const MAX_PAUSE_MS = 150;
/**
 * A slow reader pauses so long after each piece, of up to 64 KiB, and its streams fill the buffers of both systems, so that
 * daemons hold what it has not read.
 */
const SLOW_READ_MS = 80;
const SLOW_READER_PADDING_BYTES = 32_768;

export interface SessionOptions {
  readonly index: number;
  readonly traits: SessionTraits;
  readonly random: () => number;
}

export class Session {
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  /** Time between two pieces of an answer that it reads. */
  readonly readGapMs: number;
  readonly #options: SessionOptions;
  #daemon: CalledDaemon | undefined;
  #requests = 0;

  constructor(options: SessionOptions) {
    this.#options = options;
    const { index, traits } = options;
    this.readGapMs = index < traits.count * traits.slowReaderShare ? SLOW_READ_MS : 0;
  }

  /**
   * The daemon of the open connection, or one of those that are ready.
   * @returns undefined if no daemon is ready
   */
  chooseDaemon(ready: readonly CalledDaemon[]): CalledDaemon | undefined {
    if (this.#daemon?.isRunning && this.#isConnected) return this.#daemon;
    this.#requests = 0;
    this.#daemon = ready[Math.floor(this.#options.random() * ready.length)];
    return this.#daemon;
  }

  /** Counts a request that is sent on the connection. */
  nextRequest(): CallConnection {
    const connection = { session: this.#options.index, earlierRequests: this.#requests };
    this.#requests += 1;
    return connection;
  }

  /** Time until the next request after an answer. */
  pauseMs(): number {
    return between(this.#options.random, MIN_PAUSE_MS, MAX_PAUSE_MS);
  }

  /** Draws what a request asks for. */
  drawSize({ kind }: RequestClass): RequestSize {
    const { random } = this.#options;
    if (kind !== 'streaming') {
      return { outputTokens: 1, announcedTokens: 1, body: BODY, forMs: WEB_DEADLINE_MS };
    }
    const outputTokens = drawTokens(random);
    const isShort = random() < SHORT_DEADLINE_SHARE;
    const maxDeadlineMs = isShort ? MAX_SHORT_DEADLINE_MS : MAX_STREAM_DEADLINE_MS;
    const forMs = between(random, MIN_STREAM_DEADLINE_MS, maxDeadlineMs);
    const isLonger = random() < LONGER_SHARE;
    const announcedShare = isLonger ? between(random, MIN_ANNOUNCED_SHARE, MAX_ANNOUNCED_SHARE) : 1;
    const announcedTokens = Math.ceil(outputTokens * announcedShare);
    const tokens = isLonger ? outputTokens : undefined;
    const paddingBytes = this.readGapMs > 0 ? SLOW_READER_PADDING_BYTES : 0;
    const body = BODY + askForStream({ tokens, paddingBytes });
    return { outputTokens, announcedTokens, body, forMs };
  }

  close(): void {
    this.agent.destroy();
  }

  get #isConnected(): boolean {
    return Object.values(this.agent.freeSockets).some((free) => free?.length);
  }
}

function drawTokens(random: () => number): number {
  let remaining = random();
  const drawn = STREAM_LENGTHS.find(({ share }) => {
    remaining -= share;
    return remaining < 0;
  });
  const { minTokens, maxTokens } = drawn ?? STREAM_LENGTHS[0];
  return Math.round(between(random, minTokens, maxTokens));
}

function between(random: () => number, low: number, high: number): number {
  return low + random() * (high - low);
}
