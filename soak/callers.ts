/**
 * The callers of a run. They send requests at a fixed rate (open loop) over keep-alive connections, which are used until
 * the daemon's process has ended; new connections go to daemons that report that they are ready.
 */
import http, { type IncomingMessage } from 'node:http';
import { WIRE } from './header-names.js';
import type { CrashingPart, CrashingWork, SessionTraits } from './plan.js';
import type { CallEnd, CallRecord, RequestClass, ResumedStream } from './record.js';
import { CRASHING_MARK } from './response-bodies.js';
import { type CalledDaemon, Session } from './sessions.js';
import { receivedEvents } from './stream-judge.js';

/** Value of the `Host` header; all routes of a run match it. */
export const HOST = 'soak.example';
const TICK_MS = 5;
/** Idle connections that are kept open to each daemon. */
const MAX_FREE_CONNECTIONS = 32;
const READINESS_POLL_INTERVAL_MS = 100;
/**
 * Delay after a failed connection until the caller tries another daemon; repeated until the deadline of the request.
 */
const RECONNECT_DELAY_MS = 100;
/** Delay before the retry of a refused request whose response has no valid `Retry-After`. */
const RETRY_AFTER_MS = 200;
const RESUME_DELAY_MS = 20;
const CONNECT_TIMEOUT_MS = 1_000;
const EARLY_LEAVE_AFTER_MS = 40;
/** Share of callers that leave early without any fault, so that abandoned requests also occur in calm times. */
export const USUAL_LEAVING_SHARE = 0.05;
const BODY = 'what does this label say?';
const PROMPT_TOKENS = 380;
const SHARED_PARTS = 20;
const SHORT_TOKENS = 20;
/** Some streams last over a second, so that daemons stop and callers leave while a stream is open. */
const LONG_TOKENS = 150;
const LONG_SHARE = 0.15;
const DEADLINE_MS = 3_000;
/** Time from the last request until the last deadline, so that calls end while daemons still run. */
const MAX_LAST_DEADLINE_MS = 3_000;

export interface CallersOptions {
  readonly daemons: readonly CalledDaemon[];
  readonly classes: readonly RequestClass[];
  readonly requestsPerSecond: number;
  /** API keys of the callers with their tenants; the current configuration may lack some of them. */
  readonly keys: readonly { readonly key: string; readonly tenant: string }[];
  readonly longStreamShare?: number | undefined;
  /** Whether no two requests have the same body. */
  readonly hasDistinctBodies?: boolean;
  /** Callers that keep a connection each, instead of those that send at a fixed rate. */
  readonly sessions?: SessionTraits | undefined;
  readonly random: () => number;
  readonly calls: Map<string, CallRecord>;
}

/** A request of a caller, which stays the same over its retries. */
interface CallSpec
  extends Pick<
    CallRecord,
    | 'requestClass'
    | 'apiKey'
    | 'tenant'
    | 'body'
    | 'outputTokens'
    | 'announcedTokens'
    | 'deadlineMs'
    | 'resumes'
    | 'crashingPart'
  > {
  readonly isRetry: boolean;
}

/** A daemon that gets a share of all new connections. */
export interface Skew {
  readonly daemon: string;
  readonly share: number;
}

export class Callers {
  readonly #options: CallersOptions;
  readonly #agents = new Map<string, http.Agent>();
  #ready: readonly CalledDaemon[] = [];
  #tick: NodeJS.Timeout | undefined;
  #readinessPoll: NodeJS.Timeout | undefined;
  #lastMs = 0;
  #dueCalls = 0;
  #sent = 0;
  #isSending = false;
  #crashing = 0;
  readonly #repeats: NodeJS.Timeout[] = [];
  readonly #sessions: Session[] = [];
  #latestDeadlineMs = Number.POSITIVE_INFINITY;
  /** Multiplier of the request rate. */
  factor = 1;
  /** The daemon that gets most new connections while callers open one for each request. */
  skew: Skew | undefined;
  /** Share of the callers that leave early. */
  leavingShare = USUAL_LEAVING_SHARE;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** @param forMs time until `stopSending`; deadlines of requests are at most `MAX_LAST_DEADLINE_MS` later */
  start(forMs = Number.POSITIVE_INFINITY): void {
    this.#isSending = true;
    this.#lastMs = performance.now();
    this.#latestDeadlineMs = this.#lastMs + forMs + MAX_LAST_DEADLINE_MS;
    const { sessions } = this.#options;
    if (sessions === undefined) this.#tick = setInterval(() => this.#sendDue(), TICK_MS);
    else this.#startSessions(sessions);
    const pollReadiness = async () => {
      const { daemons } = this.#options;
      const ready = await Promise.all(daemons.map((daemon) => daemon.isReady()));
      if (!this.#isSending) return;
      this.#ready = daemons.filter((_, index) => ready[index]);
      this.#readinessPoll = setTimeout(() => void pollReadiness(), READINESS_POLL_INTERVAL_MS);
    };
    void pollReadiness();
  }

  /** Sends a request that crashes servers again and again, to any daemon, until `stopSending`. */
  sendCrashing(work: CrashingWork): void {
    const { classes, keys } = this.#options;
    const [owner] = keys;
    if (owner === undefined || !this.#isSending) return;
    this.#crashing += 1;
    const spec = {
      requestClass: pickByShare(classes, work.classDraw),
      apiKey: owner.key,
      tenant: owner.tenant,
      body: `${CRASHING_MARK} ${this.#crashing}`,
      outputTokens: SHORT_TOKENS,
      isRetry: false,
    };
    const send = () => this.#send({ ...spec, deadlineMs: performance.now() + DEADLINE_MS });
    this.#repeats.push(setInterval(send, work.gapMs));
  }

  /** Sends requests with a part that crashes servers, each of another body, to any daemon, until `stopSending`. */
  sendCrashingPart({ position, gapMs }: CrashingPart): void {
    const { classes, keys } = this.#options;
    const [owner] = keys;
    const requestClass = classes.find(({ kind }) => kind === 'streaming');
    if (owner === undefined || requestClass === undefined || !this.#isSending) return;
    this.#crashing += 1;
    const crashingPart = { id: `crashing${this.#crashing}`, position };
    let requests = 0;
    const send = () => {
      requests += 1;
      this.#send({
        requestClass,
        apiKey: owner.key,
        tenant: owner.tenant,
        body: `${CRASHING_MARK} with ${crashingPart.id}, ${requests}`,
        outputTokens: SHORT_TOKENS,
        crashingPart,
        deadlineMs: performance.now() + DEADLINE_MS,
        isRetry: false,
      });
    };
    this.#repeats.push(setInterval(send, gapMs));
  }

  stopSending(): void {
    this.#isSending = false;
    for (const repeat of this.#repeats) clearInterval(repeat);
    clearInterval(this.#tick);
    clearTimeout(this.#readinessPoll);
  }

  close(): void {
    this.stopSending();
    for (const agent of this.#agents.values()) agent.destroy();
    for (const session of this.#sessions) session.close();
  }

  #startSessions(traits: SessionTraits): void {
    const { random } = this.#options;
    for (let index = 0; index < traits.count; index += 1) {
      const session = new Session({ index, traits, random });
      this.#sessions.push(session);
      this.#sendNextLater(session);
    }
  }

  #sendNextLater(session: Session): void {
    setTimeout(() => {
      if (this.#isSending && !this.#sendNext(session)) this.#sendNextLater(session);
    }, session.pauseMs());
  }

  /** @returns false if no daemon is ready */
  #sendNext(session: Session): boolean {
    const { random, keys, sessions } = this.#options;
    const owner = keys[Math.floor(random() * keys.length)] ?? { key: '', tenant: '' };
    const requestClass = pickByShare(sessions?.classes ?? [], random());
    const { forMs, ...size } = session.drawSize(requestClass);
    const spec = {
      ...size,
      requestClass,
      apiKey: owner.key,
      tenant: owner.tenant,
      deadlineMs: Math.min(performance.now() + forMs, this.#latestDeadlineMs),
      isRetry: false,
    };
    return this.#send(spec, session);
  }

  #sendDue(): void {
    const nowMs = performance.now();
    const { requestsPerSecond } = this.#options;
    this.#dueCalls += ((nowMs - this.#lastMs) / 1_000) * requestsPerSecond * this.factor;
    this.#lastMs = nowMs;
    for (; this.#dueCalls >= 1; this.#dueCalls -= 1) this.#sendOne();
  }

  #sendOne(): void {
    const { random, classes, keys, longStreamShare = LONG_SHARE } = this.#options;
    const owner = keys[Math.floor(random() * keys.length)] ?? { key: '', tenant: '' };
    this.#send({
      requestClass: pickByShare(classes, random()),
      apiKey: owner.key,
      tenant: owner.tenant,
      body: this.#options.hasDistinctBodies ? `${BODY} ${this.#sent}` : BODY,
      outputTokens:
        random() < longStreamShare ? LONG_TOKENS : 2 + Math.floor(random() * SHORT_TOKENS),
      deadlineMs: performance.now() + DEADLINE_MS,
      isRetry: false,
    });
  }

  /** @returns false if there is no daemon to send it to */
  #send(spec: CallSpec, session?: Session): boolean {
    const daemon = session === undefined ? this.#chooseDaemon() : session.chooseDaemon(this.#ready);
    if (daemon === undefined) return false;
    this.#sent += 1;
    const call: CallRecord = {
      ...spec,
      id: `r${this.#sent}`,
      daemon: daemon.name,
      incarnation: daemon.incarnation,
      connection: session?.nextRequest(),
      sentMs: performance.now(),
      endedMs: undefined,
      end: undefined,
      arrivals: [],
    };
    this.#options.calls.set(call.id, call);
    const leavesEarly = this.#options.random() < this.leavingShare;
    const onEnd = (end: CallEnd) => {
      const next = followUp(call, spec, end);
      if (next !== undefined && performance.now() + next.afterMs <= spec.deadlineMs) {
        this.#sendLater(next, session);
      } else if (session !== undefined) this.#sendNextLater(session);
    };
    sendCall({
      call,
      daemon,
      agent: session?.agent ?? (this.skew === undefined ? this.#agentOf(daemon) : false),
      leavesEarly,
      readGapMs: session?.readGapMs ?? 0,
      onEnd,
    });
    return true;
  }

  /** Sends again, at any daemon. */
  #sendLater({ spec, afterMs }: FollowUp, session: Session | undefined): void {
    setTimeout(() => {
      if (!this.#isSending) return;
      if (!this.#send(spec, session) && session !== undefined) this.#sendNextLater(session);
    }, afterMs);
  }

  /** A random daemon if there is an idle connection to it; otherwise a random daemon that is ready. */
  #chooseDaemon(): CalledDaemon | undefined {
    const { daemons, random } = this.#options;
    if (this.skew !== undefined && random() < this.skew.share) return this.#skewedTo(this.skew);
    const candidate = daemons[Math.floor(random() * daemons.length)];
    if (candidate?.isRunning && this.#hasOpenConnection(candidate)) return candidate;
    return this.#ready[Math.floor(random() * this.#ready.length)] ?? candidate;
  }

  /** The daemon that a skew prefers, or the next one that is ready. */
  #skewedTo({ daemon }: Skew): CalledDaemon | undefined {
    const { daemons } = this.#options;
    const first = daemons.findIndex(({ name }) => name === daemon);
    const inOrder = [...daemons.slice(first), ...daemons.slice(0, first)];
    return inOrder.find((one) => this.#ready.includes(one));
  }

  #hasOpenConnection(daemon: CalledDaemon): boolean {
    return Object.values(this.#agentOf(daemon).freeSockets).some((free) => free?.length);
  }

  /** The agent that holds the connections to one daemon. */
  #agentOf({ name }: CalledDaemon): http.Agent {
    const known = this.#agents.get(name);
    if (known !== undefined) return known;
    const agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAX_FREE_CONNECTIONS });
    this.#agents.set(name, agent);
    return agent;
  }
}

function pickByShare(classes: readonly RequestClass[], draw: number): RequestClass {
  let remaining = draw;
  for (const requestClass of classes) {
    remaining -= requestClass.share;
    if (remaining < 0) return requestClass;
  }
  const last = classes.at(-1);
  if (last === undefined) throw new Error('a run needs a class of requests');
  return last;
}

/** What a caller sends after a call that ended without a whole answer, and when. */
interface FollowUp {
  readonly spec: CallSpec;
  readonly afterMs: number;
}

/** A caller takes a stream up, or retries once after a refusal and until its deadline after a failed connection. */
function followUp(call: CallRecord, spec: CallSpec, end: CallEnd): FollowUp | undefined {
  const resumes = resumedStream(call, end);
  if (resumes !== undefined) {
    return { spec: { ...spec, resumes, isRetry: false }, afterMs: RESUME_DELAY_MS };
  }
  const afterMs = retryAfterMs(spec, end);
  if (afterMs === undefined) return undefined;
  return { spec: { ...spec, isRetry: spec.isRetry || end.kind === 'answered' }, afterMs };
}

/** Delay until the caller retries; undefined if it does not. */
function retryAfterMs(spec: CallSpec, end: CallEnd): number | undefined {
  if (end.kind === 'not-connected') return RECONNECT_DELAY_MS;
  if (end.kind !== 'answered' || end.status !== 503 || spec.isRetry) return undefined;
  return end.retryAfterMs ?? RETRY_AFTER_MS;
}

interface SendOptions {
  readonly call: CallRecord;
  readonly daemon: CalledDaemon;
  /** False for a connection of its own. */
  readonly agent: http.Agent | false;
  readonly leavesEarly: boolean;
  /** Time between two pieces of the answer that the caller reads. */
  readonly readGapMs: number;
  readonly onEnd: (end: CallEnd) => void;
}

function sendCall({ call, daemon, agent, leavesEarly, readGapMs, onEnd }: SendOptions): void {
  const request = http.request({
    host: daemon.host,
    port: daemon.port,
    method: 'POST',
    path: `${call.requestClass.pathPrefix}x`,
    agent,
    headers: headersOf(call),
  });
  let isConnected = false;
  let hasHead = false;
  let reason = 'closed';
  const end = (how: CallEnd) => {
    if (call.end !== undefined) return;
    call.end = how;
    call.endedMs = performance.now();
    clearTimeout(deadline);
    clearTimeout(connecting);
    onEnd(how);
  };
  const leave = (isEarly: boolean) => {
    end({ kind: 'left', isEarly });
    request.destroy();
  };
  const deadline = setTimeout(
    () => leave(leavesEarly),
    leavesEarly ? EARLY_LEAVE_AFTER_MS : call.deadlineMs - call.sentMs,
  );
  const connecting = setTimeout(() => {
    if (!isConnected) request.destroy(new Error('connection timed out'));
  }, CONNECT_TIMEOUT_MS);
  request.on('socket', (socket) => {
    if (!socket.connecting) isConnected = true;
    else socket.once('connect', () => (isConnected = true));
  });
  request.on('response', (message) => {
    hasHead = true;
    collectAnswer(message, end);
    if (readGapMs > 0) readSlowly(message, readGapMs);
  });
  request.on('error', (error) => (reason = error.message));
  request.on('close', () => {
    if (hasHead) return;
    end(isConnected ? { kind: 'closed', reason } : { kind: 'not-connected' });
  });
  request.end(call.body);
}

/** The stream that the caller of an answer takes up: one that broke off after an event. */
function resumedStream(call: CallRecord, end: CallEnd): ResumedStream | undefined {
  if (end.kind !== 'answered' || end.isComplete || end.status !== 200) return undefined;
  if (!call.requestClass.isResumable) return undefined;
  const received = receivedEvents(end.body);
  if (received === undefined) return call.resumes;
  const [softwareVersion = ''] = received.softwareVersions;
  return {
    streamId: call.resumes?.streamId ?? call.id,
    lastEventId: received.lastEventId,
    softwareVersion: call.resumes?.softwareVersion ?? softwareVersion,
  };
}

function headersOf(call: CallRecord): http.OutgoingHttpHeaders {
  return {
    Host: HOST,
    'X-Attempt-Id': call.id,
    'X-Deadline-Ms': String(Math.round(call.deadlineMs - call.sentMs)),
    'X-Token-Count': `${PROMPT_TOKENS},${call.announcedTokens ?? call.outputTokens}`,
    'X-Prompt-Prefix': promptOf(call),
    'Api-Key': call.apiKey,
    'X-Tenant': 'forged',
    'Content-Length': String(Buffer.byteLength(call.body)),
    ...resumptionHeaders(call.resumes),
  };
}

function promptOf({ id, crashingPart }: CallRecord): string {
  const shared = `shared${Number(id.slice(1)) % SHARED_PARTS}:92`;
  const own = `own${id}:288`;
  const isWithCommon = Number(id.slice(1)) % 2 === 0;
  if (crashingPart === undefined)
    return isWithCommon ? `${shared},common:30,${own}` : `${shared},${own}`;
  const part = `${crashingPart.id}:40`;
  switch (crashingPart.position) {
    case 'first':
      return `${part},${shared},${own}`;
    case 'second':
      return `${shared},${part},${own}`;
    case 'third':
      return `${shared},common:30,${part},${own}`;
  }
}

function resumptionHeaders(resumes: ResumedStream | undefined): http.OutgoingHttpHeaders {
  if (resumes === undefined) return {};
  return { [WIRE.resumes]: resumes.streamId, [WIRE.lastEventId]: String(resumes.lastEventId) };
}

/** Pauses after each piece of an answer. */
function readSlowly(message: IncomingMessage, gapMs: number): void {
  message.on('data', () => {
    message.pause();
    setTimeout(() => message.resume(), gapMs);
  });
}

function collectAnswer(message: IncomingMessage, end: (how: CallEnd) => void): void {
  const chunks: Buffer[] = [];
  const stamp = message.headers[WIRE.stamp];
  const seconds = Number(message.headers['retry-after']);
  message.on('data', (chunk: Buffer) => chunks.push(chunk));
  message.on('error', () => undefined);
  message.on('close', () =>
    end({
      kind: 'answered',
      status: message.statusCode ?? 0,
      stamp: typeof stamp === 'string' ? stamp : undefined,
      body: Buffer.concat(chunks).toString('utf8'),
      isComplete: message.complete,
      retryAfterMs: Number.isFinite(seconds) ? seconds * 1_000 : undefined,
    }),
  );
}
