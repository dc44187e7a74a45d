/** How answers of other programs are read within bounds, for modules that take no code of the product. */
import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { isFinalStatus } from '../../core/gateway/index.js';
import { IdleGuardAgent } from '../http/idle-guard-agent.js';
import { AnswerCollector } from './answer-collector.js';
import { limitAnswerHead } from './answer-head-limit.js';

const UNAVAILABLE_STATUS = 503;

/** A complete answer to a call. */
export interface CompleteAnswer {
  readonly kind: 'answered';
  readonly status: number;
  /** Whether the status promises that the call was not carried out; without that promise it may have been. */
  readonly wasRefused: boolean;
  readonly body: Buffer;
  readonly headers: IncomingHttpHeaders;
}

/** Reads the answers to calls. */
export interface AnswerReading {
  /** Creates the collector of one body. */
  readonly createCollector: () => Pick<AnswerCollector, 'add' | 'join' | 'isTooLong'>;
  /** Creates what keeps connections between calls, and closes those on which bytes arrive that belong to no call. */
  readonly createAgent: () => Agent;
  /** Bounds the bytes before the answer to a call that was not sent yet. */
  readonly limitHead: (request: ClientRequest) => void;
  /** A message with its whole body; undefined if its status ends no call, so that this is no answer. */
  readonly completeAnswer: (message: IncomingMessage, body: Buffer) => CompleteAnswer | undefined;
}

/** Collects bodies that are counted nowhere else. */
export const ANSWER_READING: AnswerReading = {
  createCollector: () => new AnswerCollector(),
  createAgent: () => new IdleGuardAgent(),
  limitHead: limitAnswerHead,
  completeAnswer,
};

function completeAnswer(
  { statusCode: status = 0, headers }: IncomingMessage,
  body: Buffer,
): CompleteAnswer | undefined {
  if (!isFinalStatus(status)) return undefined;
  const wasRefused = (status >= 400 && status < 500) || status === UNAVAILABLE_STATUS;
  return { kind: 'answered', status, wasRefused, body, headers };
}
