/** What the callers of a crowd send. */
import { HOST } from './callers.js';
import { CALLER_KEYS } from './configuration.js';
import type { CrowdKind } from './crowd-fault.js';
import { WIRE } from './header-names.js';
import { askForStream } from './response-bodies.js';
import {
  chunks,
  openHead,
  smallHeaders,
  tinyChunks,
  type WireHeaders,
  wholeHead,
} from './wire-requests.js';

/** The ids of requests of crowds begin with this text: servers need not know them. */
export const CROWD_ID_PREFIX = 'crowd-';
const WEB_PATH = '/post/x';
const MODEL_PATH = '/generate/x';
const UNKNOWN_PATH = '/nowhere/x';
/** Below the limit of the configuration, 1,000,000 bytes. */
const BODY_BYTES = 983_040;
const LARGE_CHUNK_BYTES = 65_536;
const TINY_CHUNK_BODY_BYTES = 40_000;
/** Below the limit of the configuration, 16,384 bytes. */
const SMALL_HEADERS = 1_900;
/** Above that limit, and below the one of the HTTP parser. */
const LONG_HEADER_BYTES = 120_000;
const PIPELINED_REQUESTS = 2_000;
const PROMPT_TOKENS = 10;
const PADDING_BYTES = 20_000;
const UNREAD_EVENTS = 200;

/** A body, and the headers that come with it. */
interface SentBody {
  readonly headers: WireHeaders;
  readonly bytes: Buffer;
}

let requests = 0;

/** Returns the function that makes what each caller of a crowd writes, of which all callers share the last Buffer. */
export function crowdRequests(crowd: CrowdKind): () => readonly Buffer[] {
  switch (crowd) {
    case 'tiny-chunks':
      return withBody(MODEL_PATH, chunkedBody(tinyChunks(TINY_CHUNK_BODY_BYTES)));
    case 'large-chunks': {
      const count = BODY_BYTES / LARGE_CHUNK_BYTES;
      return withBody(WEB_PATH, chunkedBody(chunks(count, LARGE_CHUNK_BYTES)));
    }
    case 'declared-lengths':
      return withBody(WEB_PATH, unsentBody(BODY_BYTES, {}));
    case 'small-headers':
      return withBody(WEB_PATH, unsentBody(2, smallHeaders(SMALL_HEADERS)));
    case 'unfinished-heads': {
      const long = { 'X-Long': 'x'.repeat(LONG_HEADER_BYTES) };
      return () => [Buffer.from(openHead('POST', WEB_PATH, { ...headers(), ...long }))];
    }
    case 'pipelined':
      return () => [Buffer.from(pipelined())];
    case 'brief-connections':
      return withBody(WEB_PATH, unsentBody(2, {}));
    case 'unread-streams':
      return withBody(MODEL_PATH, longStream());
  }
}

function headers(): WireHeaders {
  requests += 1;
  return {
    Host: HOST,
    [WIRE.attemptId]: `${CROWD_ID_PREFIX}${requests}`,
    [WIRE.apiKey]: CALLER_KEYS[0]?.key ?? '',
    [WIRE.tokenCount]: `${PROMPT_TOKENS},${UNREAD_EVENTS}`,
    'X-Prompt-Prefix': `crowd:${PROMPT_TOKENS}`,
  };
}

function withBody(path: string, { headers: own, bytes }: SentBody): () => readonly Buffer[] {
  return () => {
    const head = wholeHead('POST', path, { ...headers(), ...own });
    return [Buffer.from(head), bytes];
  };
}

function chunkedBody(bytes: Buffer): SentBody {
  return { headers: { 'Transfer-Encoding': 'chunked' }, bytes };
}

/** A body of which one byte is sent. */
function unsentBody(bytes: number, more: WireHeaders): SentBody {
  return { headers: { 'Content-Length': String(bytes), ...more }, bytes: Buffer.from('x') };
}

function longStream(): SentBody {
  const asked = askForStream({ tokens: UNREAD_EVENTS, paddingBytes: PADDING_BYTES });
  const bytes = Buffer.from(`a crowd's stream${asked}`);
  return { headers: { 'Content-Length': String(bytes.length) }, bytes };
}

/** Requests without a route, so that they take no server from other callers. */
function pipelined(): string {
  const one = wholeHead('GET', UNKNOWN_PATH, headers());
  return one.repeat(PIPELINED_REQUESTS);
}
