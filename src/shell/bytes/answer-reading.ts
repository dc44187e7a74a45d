/** How answers of other programs are read within bounds, for modules that take no code of the product. */
import type { Agent, ClientRequest } from 'node:http';
import { isFinalStatus } from '../../core/gateway/index.js';
import { IdleGuardAgent } from '../http/idle-guard-agent.js';
import { AnswerCollector } from './answer-collector.js';
import { limitAnswerHead } from './answer-head-limit.js';

/** Reads the answers to calls. */
export interface AnswerReading {
  /** Creates the collector of one body. */
  readonly createCollector: () => Pick<AnswerCollector, 'add' | 'join' | 'isTooLong'>;
  /** Creates what keeps connections between calls, and closes those on which bytes arrive that belong to no call. */
  readonly createAgent: () => Agent;
  /** Bounds the bytes before the answer to a call that was not sent yet. */
  readonly limitHead: (request: ClientRequest) => void;
  /** Whether a status ends a call. */
  readonly isFinalStatus: (status: number) => boolean;
}

/** Collects bodies that are counted nowhere else. */
export const ANSWER_READING: AnswerReading = {
  createCollector: () => new AnswerCollector(),
  createAgent: () => new IdleGuardAgent(),
  limitHead: limitAnswerHead,
  isFinalStatus,
};
