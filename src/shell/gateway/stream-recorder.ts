/**
 * Records where the streams of this daemon began, at daemons that any other one finds from the id of the stream. A caller
 * may come back to another daemon as this one dies, so the record leaves before the first event goes to the caller. While
 * the list of servers has shown one version for longer than any stream lives, no record is needed and none is sent.
 */
import {
  originAt,
  type PeerDaemon,
  type PossibleOrigins,
  routeKeyOf,
  StreamOriginTable,
  type StreamRecord,
  type StreamServer,
  soleOrigin,
  streamLifeMs,
} from '../../core/gateway/index.js';
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { Exchange } from './exchange.js';
import type { FollowedOriginsOptions } from './followed-origins.js';
import { getOrCreate } from './get-or-create.js';
import { runInBackground } from './internal-faults.js';
import { PeerRequests } from './peer-requests.js';

import { streamIdOf, streamKeyOf } from './stream-key.js';
import type { AgedStreamRecord, StreamRecordsMessage } from './stream-message-fields.js';
import { peersHolding, type StreamPeers, streamPeersOf } from './stream-peers.js';
import type { CancelTimer } from './timer-service.js';

/** An event waits at most this long; after it, the stream may be rejected where its daemon dies, but never guessed. */
const TIMING = { resendAfterMs: 12, timeoutMs: 36 };
/** Confirmations to wait for, so that one of these daemons may be lost together with this one. */
const CONFIRMATIONS = 2;
/** Keeps a datagram within one packet. */
const MAX_RECORDS_PER_MESSAGE = 10;

/** How soon streams are recorded once this daemon has lost touch with the list of servers. */
const CHECK_INTERVAL_MS = 500;

/** Dependencies of a `StreamRecorder`. */
export interface StreamRecorderOptions
  extends StreamPeers,
    Pick<FollowedOriginsOptions, 'serversFollowedMs'> {
  readonly records: StreamOriginTable;
  readonly possibleOrigins: Pick<PossibleOrigins, 'viewOf'>;
}

/** The record of a stream that needed none at other daemons as it began. */
interface UnsentRecord extends StreamRecord {
  readonly routeKey: string;
}

/** Records the streams of one daemon. */
export class StreamRecorder {
  readonly #options: StreamRecorderOptions;
  readonly #requests: PeerRequests<StreamRecordsMessage, true>;
  #unsent = new StreamOriginTable<UnsentRecord>();
  /** Cancels the pending check of the streams that are not recorded at other daemons. */
  #cancelCheck: CancelTimer | undefined;

  constructor(options: StreamRecorderOptions) {
    this.#options = options;
    this.#requests = new PeerRequests({ ...options, timing: TIMING });
  }

  stop(): void {
    this.#requests.stop();
    this.#cancelCheck?.();
  }

  /**
   * Records that the first event of a stream is about to go to its caller.
   * @returns undefined where the event may go at once; otherwise resolves when it may
   */
  recordFirstEvent(exchange: Exchange, server: StreamServer): Promise<void> | undefined {
    const isResumed = exchange.streamOrigin !== undefined;
    exchange.fixStreamOrigin(originAt(server));
    const { route } = exchange.options;
    if (!route.resumable) return undefined;
    const record = this.#recordOf(exchange, server);
    const nowMs = this.#options.timers.nowMs();
    this.#options.records.add(record, nowMs);
    const unsent = { ...record, routeKey: routeKeyOf(route) };
    if (!this.#needsRecord(unsent, nowMs)) {
      this.#unsent.add(unsent, nowMs);
      this.#scheduleCheck();
      return undefined;
    }
    const holders = peersHolding(record.streamId, this.#options);
    if (holders.length === 0) return undefined;
    const stored = this.#store(exchange, server, record, holders);
    // Other daemons know a stream that goes on already.
    return isResumed ? undefined : stored;
  }

  /** Another version has joined, or may have: streams that needed no record may need one now. */
  sendUnsent(): void {
    const { timers, log } = this.#options;
    const nowMs = timers.nowMs();
    const kept = new StreamOriginTable<UnsentRecord>();
    const due: StreamRecord[] = [];
    for (const record of this.#unsent.all(nowMs)) {
      if (this.#needsRecord(record, nowMs)) due.push(record);
      else kept.add(record, nowMs);
    }
    this.#unsent = kept;
    if (due.length === 0 || streamPeersOf(this.#options).length === 0) return;
    this.#sendAll(due, nowMs);
    log.write(DEPARTURE_EVENTS.streamsRecordedLater, { streams: due.length });
  }

  /** Checks, while there are such streams, whether the list of servers has been followed since the last check. */
  #scheduleCheck(): void {
    const { timers, serversFollowedMs } = this.#options;
    const startedMs = timers.nowMs();
    this.#cancelCheck ??= timers.after(CHECK_INTERVAL_MS, () => {
      this.#cancelCheck = undefined;
      const isUnbroken = (serversFollowedMs() ?? 0) >= timers.nowMs() - startedMs;
      if (!isUnbroken) this.sendUnsent();
      if (this.#unsent.size > 0) this.#scheduleCheck();
    });
  }

  /** Another daemon has stored the records of a message. */
  handleStored(number: number): void {
    this.#requests.handleAnswer(number, true);
  }

  #recordOf({ options }: Exchange, server: StreamServer): StreamRecord {
    const { description, route, timers } = options;
    const lifeMs = Math.max(streamLifeMs(route), description.deadlineMs ?? 0);
    const streamId = streamKeyOf(streamIdOf(description));
    const beganAtMs = timers.nowMs();
    return { streamId, origin: originAt(server), beganAtMs, endsAtMs: beganAtMs + lifeMs };
  }

  #needsRecord({ routeKey, beganAtMs, endsAtMs }: UnsentRecord, nowMs: number): boolean {
    const { possibleOrigins } = this.#options;
    return soleOrigin(possibleOrigins.viewOf(routeKey, endsAtMs - beganAtMs, nowMs)) === undefined;
  }

  /** Sends a record; resolves once enough daemons have confirmed it, or after the time-out. */
  async #store(
    exchange: Exchange,
    server: StreamServer,
    record: StreamRecord,
    holders: readonly PeerDaemon[],
  ): Promise<void> {
    const { timers, log, metrics } = this.#options;
    const startedMs = timers.nowMs();
    const records = [agedRecord(record, startedMs)];
    const needed = Math.min(CONFIRMATIONS, holders.length);
    let stored = 0;
    await new Promise<void>((resolve, reject) => {
      const requests = holders.map(async (holder) => {
        const isStored = await this.#send(holder, records);
        if (isStored) stored += 1;
        if (stored >= needed) resolve();
      });
      Promise.all(requests).then(() => resolve(), reject);
    });
    metrics.recordStreamRecord(stored >= needed ? 'confirmed' : 'unconfirmed');
    log.write(GATEWAY_EVENTS.streamRecorded, {
      request: exchange.options.description.attemptId,
      stream: streamIdOf(exchange.options.description),
      server: server.id,
      softwareVersion: record.origin.softwareVersion,
      sentTo: holders.map(({ name }) => name).join(' '),
      stored,
      tookMs: Math.round(timers.nowMs() - startedMs),
    });
  }

  #sendAll(records: readonly StreamRecord[], nowMs: number): void {
    const recordsOf = new Map<string, AgedStreamRecord[]>();
    const holders = new Map<string, PeerDaemon>();
    for (const record of records) {
      for (const holder of peersHolding(record.streamId, this.#options)) {
        holders.set(holder.name, holder);
        getOrCreate(recordsOf, holder.name, () => []).push(agedRecord(record, nowMs));
      }
    }
    for (const [name, holder] of holders) {
      const all = recordsOf.get(name) ?? [];
      for (let first = 0; first < all.length; first += MAX_RECORDS_PER_MESSAGE) {
        const part = all.slice(first, first + MAX_RECORDS_PER_MESSAGE);
        runInBackground(this.#options.log, 'send stream records', this.#send(holder, part));
      }
    }
  }

  #send(holder: PeerDaemon, records: readonly AgedStreamRecord[]): Promise<true | undefined> {
    return this.#requests.request(holder, (number) => ({
      kind: 'stream-records',
      number,
      records,
    }));
  }
}

function agedRecord(record: StreamRecord, nowMs: number): AgedStreamRecord {
  const { streamId, origin, beganAtMs, endsAtMs } = record;
  return { streamId, origin, ageMs: nowMs - beganAtMs, leftMs: endsAtMs - nowMs };
}
