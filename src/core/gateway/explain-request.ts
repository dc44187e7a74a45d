/**
 * Explains one request from the log lines of gateways: what was decided for it and on which figures, how it
 * ended, and which other events of that time concern its servers or its daemon.
 */
import { GATEWAY_EVENTS } from '../logging/catalogue/gateway.js';
import type { LogFields } from '../logging/log-event.js';

/** Events up to this long before or after the request's own lines may be related to it. */
const CONTEXT_MS = 3_000;
/** A first event is reported as late beyond this multiple of its forecast and more than `LATE_MS` after it. */
const LATE_FACTOR = 2;
const LATE_MS = 100;

/** One line of a gateway's log. */
export interface LogLine {
  /** The log or machine that the line came from. */
  readonly source: string;
  /** Milliseconds since the Unix epoch. */
  readonly timeMs: number;
  /** Number of the event. */
  readonly event: number;
  readonly message: string;
  readonly fields: LogFields;
}

/** The explanation of a request from its log lines. */
export interface RequestExplanation {
  readonly isFound: boolean;
  /** The explanation in words; the end of the request comes first. */
  readonly sentences: readonly string[];
  /** The request's own lines, ordered by time. */
  readonly ownLines: readonly LogLine[];
  /** Other lines of that time that concern its servers or its daemon. */
  readonly context: readonly LogLine[];
}

const NUMBERS = {
  ended: GATEWAY_EVENTS.requestEnded.number,
  refused: GATEWAY_EVENTS.requestRefused.number,
  failed: GATEWAY_EVENTS.requestFailed.number,
  attemptFailed: GATEWAY_EVENTS.attemptFailed.number,
  planChosen: GATEWAY_EVENTS.planChosen.number,
  waits: GATEWAY_EVENTS.requestWaits.number,
  waited: GATEWAY_EVENTS.requestWaited.number,
  turnedAway: GATEWAY_EVENTS.requestTurnedAway.number,
  dropped: GATEWAY_EVENTS.linesDropped.number,
  streamRecorded: GATEWAY_EVENTS.streamRecorded.number,
  streamResumption: GATEWAY_EVENTS.streamResumption.number,
  sentToDeparting: GATEWAY_EVENTS.sentToDeparting.number,
} as const;

/** Events of a daemon that affect all its requests. */
const DAEMON_EVENTS: ReadonlySet<number> = new Set(
  [
    GATEWAY_EVENTS.started,
    GATEWAY_EVENTS.stopping,
    GATEWAY_EVENTS.linesDropped,
    GATEWAY_EVENTS.configurationInForce,
    GATEWAY_EVENTS.configurationMalformed,
    GATEWAY_EVENTS.configurationOlder,
    GATEWAY_EVENTS.watchLost,
    GATEWAY_EVENTS.watchRegained,
    GATEWAY_EVENTS.historyLost,
  ].map(({ number }) => number),
);

/** Whether a line may be needed to explain a request; all others can be discarded. */
export function mayExplain(line: LogLine, requestId: string): boolean {
  if (line.fields.request === requestId || DAEMON_EVENTS.has(line.event)) return true;
  if (line.fields.stream === requestId) return true;
  return line.fields.server !== undefined && line.event !== NUMBERS.planChosen;
}

/** @param lines the lines for which `mayExplain` is true, in any order */
export function explainRequest(lines: readonly LogLine[], requestId: string): RequestExplanation {
  const ordered = [...lines].sort((left, right) => left.timeMs - right.timeMs);
  const ownLines = ordered.filter((line) => line.fields.request === requestId);
  if (ownLines.length === 0) {
    return { isFound: false, sentences: notFound(ordered), ownLines, context: [] };
  }
  const context = contextOf(ordered, ownLines, requestId);
  const sentences = [
    ...endSentences(ownLines),
    ...streamSentences(ownLines),
    ...resumptionSentences(ordered, requestId),
    ...admissionSentences(ownLines),
    ...planSentences(ownLines),
    ...attemptSentences(ownLines),
    ...departureSentences(ownLines),
    ...contextSentences(context, ownLines),
  ];
  return { isFound: true, sentences, ownLines, context };
}

function notFound(lines: readonly LogLine[]): readonly string[] {
  const dropped = lines
    .filter(({ event }) => event === NUMBERS.dropped)
    .reduce((sum, { fields }) => sum + numberOf(fields.lines), 0);
  const first =
    'No log line has this request id: the request did not reach these gateways, or its lines are missing.';
  if (dropped === 0) return [first];
  return [first, `${dropped} lines were dropped by the log rate limit (event ${NUMBERS.dropped}).`];
}

function contextOf(
  lines: readonly LogLine[],
  ownLines: readonly LogLine[],
  requestId: string,
): readonly LogLine[] {
  const times = ownLines.map(({ timeMs }) => timeMs);
  const elapsedMs = Math.max(0, ...ownLines.map(({ fields }) => numberOf(fields.elapsedMs)));
  const fromMs = Math.min(...times) - elapsedMs - CONTEXT_MS;
  const toMs = Math.max(...times) + CONTEXT_MS;
  const servers = serversOf(ownLines);
  const sources = new Set(ownLines.map(({ source }) => source));
  return lines.filter((line) => {
    if (line.fields.request === requestId) return false;
    if (line.timeMs < fromMs || line.timeMs > toMs) return false;
    if (DAEMON_EVENTS.has(line.event)) return sources.has(line.source);
    const isEnd = line.event === NUMBERS.ended;
    return !isEnd && servers.has(String(line.fields.server));
  });
}

function endSentences(ownLines: readonly LogLine[]): readonly string[] {
  const end = ownLines.find(({ event }) =>
    [NUMBERS.ended, NUMBERS.refused, NUMBERS.failed].some((number) => number === event),
  );
  if (end === undefined)
    return ['These lines do not contain its end: it was still running when they stop.'];
  const { fields } = end;
  const after = `after ${numberOf(fields.elapsedMs)} ms, under configuration ${fields.configurationVersion ?? '?'}`;
  switch (end.event) {
    case NUMBERS.refused:
      return [`Refused ${after}: ${fields.reason ?? 'no reason given'}. It has not run.`];
    case NUMBERS.failed:
      return [
        `Failed ${after}: ${fields.reason ?? 'no reason given'}; sent to ${fields.runs ?? '?'} servers, so it may have run.`,
      ];
    default:
      return [
        `Ended ${after}: ${fields.outcome ?? 'ended'}${fields.status === undefined ? '' : `, status ${fields.status}`}${fields.server === undefined ? '' : ` from ${fields.server}`}.`,
        ...latenessSentences(fields),
      ];
  }
}

function latenessSentences(end: LogFields): readonly string[] {
  const firstEventMs = numberOf(end.firstEventMs);
  if (firstEventMs === 0) return [];
  const prefillMs = numberOf(end.prefillMs);
  const afterMs = firstEventMs - prefillMs;
  if (prefillMs === 0) return [`Its first event came after ${firstEventMs} ms.`];
  return [
    `Its first event came after ${firstEventMs} ms: ${prefillMs} ms until the prompt was read, then ${afterMs} ms.`,
  ];
}

/** Where the stream of the request began, and whether this attempt took one up. */
function streamSentences(ownLines: readonly LogLine[]): readonly string[] {
  return ownLines.flatMap(({ event, fields }) => {
    switch (event) {
      case NUMBERS.streamRecorded:
        return [
          `Its first event came from software version ${fields.softwareVersion} (${fields.server}); ${fields.stored} of ${fields.sentTo} confirmed that within ${fields.tookMs} ms.`,
        ];
      case NUMBERS.streamResumption:
        return [resumptionSentence(fields, `It takes up the stream ${fields.stream}`)];
      default:
        return [];
    }
  });
}

/** The later attempts of the caller that take up the stream of this one. */
function resumptionSentences(lines: readonly LogLine[], requestId: string): readonly string[] {
  return lines
    .filter(({ event, fields }) => {
      return event === NUMBERS.streamResumption && fields.stream === requestId;
    })
    .map(({ fields, source }) =>
      resumptionSentence(fields, `Its stream was taken up by ${fields.request} at ${source}`),
    );
}

function resumptionSentence(fields: LogFields, what: string): string {
  if (fields.outcome === 'reject') return `${what}: rejected, as ${fields.reason}.`;
  return `${what}: goes on at software version ${fields.softwareVersion}, by ${fields.source}.`;
}

function admissionSentences(ownLines: readonly LogLine[]): readonly string[] {
  return ownLines.flatMap(({ event, fields }) => {
    const age = `by load reports ${fields.sumsAgeMs ?? '?'} ms old`;
    switch (event) {
      case NUMBERS.waits:
        return [
          `It was held at the daemon behind ${fields.behind} requests of its route: free capacity was expected in ${fields.roomInMs} ms, ${age}.`,
        ];
      case NUMBERS.waited:
        return [`It was held for ${fields.waitedMs} ms.`];
      case NUMBERS.turnedAway:
        return [
          `Refused for lack of capacity (${fields.reason}) after ${fields.waitedMs ?? 0} ms, ${age}; its caller was told to retry after ${fields.retryAfterMs} ms.`,
        ];
      default:
        return [];
    }
  });
}

function planSentences(ownLines: readonly LogLine[]): readonly string[] {
  const plans = ownLines.filter(({ event }) => event === NUMBERS.planChosen);
  const end = ownLines.find(({ event }) => event === NUMBERS.ended);
  const sentences = plans.map(({ fields }) => {
    const way = fields.way === 'prefill' ? 'a separate prefill' : 'prefill and decode';
    const source = fields.fetchFrom === '' ? '' : `, KV cache fetched from ${fields.fetchFrom}`;
    return `Planned ${way} at ${fields.server}: ${fields.missing} of ${fields.promptLength} tokens not cached, ${fields.expectedMs} ms expected${source}.`;
  });
  const expectedMs = numberOf(plans.at(-1)?.fields.expectedMs);
  const tookMs = numberOf(end?.fields.firstEventMs);
  const isLate = tookMs > LATE_FACTOR * expectedMs && tookMs - expectedMs > LATE_MS;
  if (plans.length === 0 || !isLate) return sentences;
  const at = plans.at(-1)?.fields.server;
  return [
    ...sentences,
    `That is ${tookMs - expectedMs} ms more than expected: work at ${at} that this daemon did not know of, or a slow engine.`,
  ];
}

function attemptSentences(ownLines: readonly LogLine[]): readonly string[] {
  return ownLines
    .filter(({ event }) => event === NUMBERS.attemptFailed)
    .map(({ fields }) => {
      const what = fields.step === 'prefill' ? 'Prefill' : 'Running';
      const why = fields.reason === '' ? `status ${fields.status}` : fields.reason;
      return `${what} at ${fields.server} (${fields.zone}) failed after ${fields.elapsedMs} ms: ${fields.result}, ${why}; the failure rate of recent calls to it was ${fields.failureRate}.`;
    });
}

/** Why requests went to servers that were not listed as ready. */
function departureSentences(ownLines: readonly LogLine[]): readonly string[] {
  return ownLines
    .filter(({ event }) => event === NUMBERS.sentToDeparting)
    .map(({ fields }) => {
      const state = `listed as ${fields.state} for at most ${fields.changedWithinMs ?? '?'} ms`;
      return `It was sent to ${fields.server}, ${state}; its daemon had known that for ${fields.learnedAgoMs} ms, from the ${fields.source}.`;
    });
}

function contextSentences(
  context: readonly LogLine[],
  ownLines: readonly LogLine[],
): readonly string[] {
  const sentences: string[] = [];
  for (const server of serversOf(ownLines)) {
    const failed = context.filter(
      ({ event, fields }) => event === NUMBERS.attemptFailed && fields.server === server,
    );
    if (failed.length > 0) {
      const sources = new Set(failed.map(({ source }) => source)).size;
      sentences.push(
        `${failed.length} other attempts at ${server} failed around that time, at ${sources} daemons.`,
      );
    }
  }
  for (const line of context) {
    if (!DAEMON_EVENTS.has(line.event)) continue;
    sentences.push(`Its daemon, ${relativeTimeOf(line, ownLines)}: ${line.message}.`);
  }
  return sentences;
}

function relativeTimeOf(line: LogLine, ownLines: readonly LogLine[]): string {
  const endMs = Math.max(...ownLines.map(({ timeMs }) => timeMs));
  const spanMs = Math.round(endMs - line.timeMs);
  return spanMs >= 0 ? `${spanMs} ms before its end` : `${-spanMs} ms after its end`;
}

function serversOf(lines: readonly LogLine[]): ReadonlySet<string> {
  const names = lines.flatMap(({ fields }) => [fields.server, fields.fetchFrom]);
  return new Set(names.filter((name): name is string => typeof name === 'string' && name !== ''));
}

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}
