/** How answers of other programs are read within bounds, for modules that take no code of the product. */
import type { Agent, ClientRequest } from 'node:http';
import { IdleGuardAgent } from '../http/idle-guard-agent.js';
import { limitAnswerHead } from './answer-head-limit.js';
import { ByteCollector } from './byte-collector.js';

/** Reads the answers to calls. */
export interface AnswerReading {
  /** Creates the collector of one body. */
  readonly createCollector: () => Pick<ByteCollector, 'add' | 'join' | 'length'>;
  /** Creates what keeps connections between calls, and closes those on which bytes arrive that belong to no call. */
  readonly createAgent: () => Agent;
  /** Bounds the bytes before the answer to a call that was not sent yet. */
  readonly limitHead: (request: ClientRequest) => void;
}

/** Collects bodies that are counted nowhere else. */
export const ANSWER_READING: AnswerReading = {
  createCollector: () => new ByteCollector(),
  createAgent: () => new IdleGuardAgent(),
  limitHead: limitAnswerHead,
};
