/**
 * Finds out where a stream began that its caller takes up: from this daemon's own records, from the daemons that keep the
 * record of the stream, and from all others. A stream of unknown origin is not sent on at a guess.
 */
import {
  decideUnrecorded,
  type PeerDaemon,
  type PeerView,
  type PossibleOrigins,
  type ResumptionDecision,
  type Route,
  routeKeyOf,
  type StreamOrigin,
  type StreamOriginTable,
  streamLifeMs,
} from '../../core/gateway/index.js';
import { ByteBudget } from './byte-budget.js';
import { PeerRequests } from './peer-requests.js';
import { ServersConfirmation, type ServersConfirmationOptions } from './servers-confirmation.js';
import type { StreamAnsweredMessage, StreamAskedMessage } from './stream-message-fields.js';
import { peersHolding, type StreamPeers, streamPeersOf } from './stream-peers.js';

/** Longer than a daemon needs that shares its core; a caller waits for it once or twice. */
const TIMING = { resendAfterMs: 30, timeoutMs: 90 };
/** Callers can name streams that never were, and each such request asks every daemon. */
const ASK_ALL_BUDGET = { bytesPerSecond: 65_536, burstBytes: 262_144 };
/** Approximate size of a question with its headers. */
const QUESTION_BYTES = 150;

/** Dependencies of a `StreamLookup`. */
export interface StreamLookupOptions
  extends StreamPeers,
    Pick<ServersConfirmationOptions, 'readServers'> {
  readonly records: StreamOriginTable;
  readonly possibleOrigins: Pick<PossibleOrigins, 'viewOf'>;
}

/** What other daemons have answered. */
interface Answers {
  /** The daemons that keep the record of the stream, if there is one. */
  readonly holders: readonly PeerDaemon[];
  asked: readonly PeerDaemon[];
  readonly answered: Set<string>;
  record: { readonly origin: StreamOrigin; readonly ageMs: number } | undefined;
  readonly views: PeerView[];
}

/** Looks up the streams that callers take up at one daemon. */
export class StreamLookup {
  readonly #options: StreamLookupOptions;
  readonly #requests: PeerRequests<StreamAskedMessage, StreamAnsweredMessage>;
  readonly #askAllBudget: ByteBudget;
  readonly #confirmation: ServersConfirmation;

  constructor(options: StreamLookupOptions) {
    this.#options = options;
    this.#requests = new PeerRequests({ ...options, timing: TIMING });
    this.#askAllBudget = new ByteBudget(ASK_ALL_BUDGET, options.timers);
    this.#confirmation = new ServersConfirmation(options);
  }

  stop(): void {
    this.#requests.stop();
    this.#confirmation.stop();
  }

  handleAnswer(message: StreamAnsweredMessage): void {
    this.#requests.handleAnswer(message.number, message);
  }

  /** @param streamKey empty for a stream that its caller does not name */
  async find(streamKey: string, route: Route): Promise<ResumptionDecision> {
    const { records, timers } = this.#options;
    const nowMs = timers.nowMs();
    const own = records.get(streamKey, nowMs);
    if (own !== undefined) {
      const { origin, beganAtMs } = own;
      return { kind: 'continue', origin, source: 'own record', ageMs: nowMs - beganAtMs };
    }
    const answers: Answers = {
      holders: peersHolding(streamKey, this.#options),
      asked: [],
      answered: new Set(),
      record: undefined,
      views: [],
    };
    await this.#askDaemons(streamKey, route, answers);
    const decision = this.#decide(streamKey, route, answers, false);
    const isConfirmable =
      decision.kind === 'reject' &&
      decision.reason === 'too few daemons answer to know its software version' &&
      answers.views.length > 0;
    if (!isConfirmable) return decision;
    const isConfirmed = await this.#confirmation.confirm();
    return this.#decide(streamKey, route, answers, isConfirmed);
  }

  /** Asks all daemons of a small fleet at once; in a large one those that keep the record first, which mostly suffices. */
  async #askDaemons(streamKey: string, route: Route, answers: Answers): Promise<void> {
    const { roster } = this.#options;
    const { holders } = answers;
    const peers = streamPeersOf(this.#options);
    const others = peers.filter((peer) => !holders.includes(peer));
    const canAskAll = () => this.#askAllBudget.tryTake(QUESTION_BYTES * others.length);
    if (roster?.isLarge !== true && canAskAll()) {
      return this.#ask(peers, streamKey, route, answers);
    }
    await this.#ask(holders, streamKey, route, answers);
    const decision = this.#decide(streamKey, route, answers, false);
    if (decision.kind === 'continue' || !canAskAll()) return;
    await this.#ask(others, streamKey, route, answers);
  }

  /** Resolves once the answers suffice, or all daemons have answered or timed out. */
  #ask(
    peers: readonly PeerDaemon[],
    streamKey: string,
    route: Route,
    answers: Answers,
  ): Promise<void> {
    answers.asked = [...answers.asked, ...peers];
    const question = {
      kind: 'stream-asked',
      streamId: streamKey,
      routeKey: routeKeyOf(route),
      lifeMs: streamLifeMs(route),
    } as const;
    return new Promise((resolve, reject) => {
      const asked = peers.map(async (peer) => {
        const answer = await this.#requests.request(peer, (number) => ({ ...question, number }));
        if (answer === undefined) return;
        answers.views.push({ zone: answer.zone, view: answer.view });
        answers.record ??= answer.record;
        answers.answered.add(peer.name);
        if (this.#hasEnough(streamKey, route, answers)) resolve();
      });
      Promise.all(asked).then(() => resolve(), reject);
    });
  }

  /** A record is at two of its three keepers, so one that is down need not be waited for where the others have none. */
  #hasEnough(streamKey: string, route: Route, answers: Answers): boolean {
    const { holders, answered, record } = answers;
    if (record !== undefined) return true;
    const silent = holders.filter(({ name }) => !answered.has(name));
    if (silent.length > 1) return false;
    return this.#decide(streamKey, route, answers, false).kind === 'continue';
  }

  #decide(
    streamKey: string,
    route: Route,
    { asked, record, views }: Answers,
    isConfirmed: boolean,
  ): ResumptionDecision {
    const { records, possibleOrigins, roster, zone, timers } = this.#options;
    const nowMs = timers.nowMs();
    const lifeMs = streamLifeMs(route);
    if (record !== undefined) {
      const { origin, ageMs } = record;
      const times = { beganAtMs: nowMs - ageMs, endsAtMs: nowMs + lifeMs };
      records.add({ streamId: streamKey, origin, ...times }, nowMs);
      return { kind: 'continue', origin, source: 'record of a peer', ageMs };
    }
    const peers = streamPeersOf(this.#options);
    return decideUnrecorded({
      ownView: possibleOrigins.viewOf(routeKeyOf(route), lifeMs, nowMs),
      ownZone: zone,
      answers: views,
      zones: new Set([zone, ...peers.map((peer) => peer.zone)]),
      daemons: roster?.hasList === false ? undefined : asked.length + 1,
      isConfirmed,
    });
  }
}
