/**
 * Calls the operator API of the first daemon that answers. If an answer is lost, the same call goes to
 * the next daemon. This is safe for reads, and for changes because each carries its id.
 */
import { Agent, request } from 'undici';
import type { Endpoint } from '../core/registry/backend.js';
import { formatEndpoint } from '../shell/settings/index.js';
import { readText } from './answer-body.js';
import { errorMessage, isNotSent } from './send-failure.js';

/** Options of `callOperator`. */
export interface OperatorClientOptions {
  /** Tried in this order. */
  readonly daemons: readonly Endpoint[];
  readonly token: string | null;
  /** Timeout for the answer of one daemon. */
  readonly timeoutMs: number;
}

/** A daemon's answer. */
export interface DaemonAnswer {
  readonly kind: 'answered';
  readonly daemon: string;
  readonly status: number;
  /** Parsed JSON, not yet validated. */
  readonly body: unknown;
  /** A daemon that was tried before may have received this call; its answer was lost. */
  readonly earlierAnswerLost: boolean;
}

/** No daemon answered. */
export interface NoAnswer {
  readonly kind: 'no-answer';
  /** Whether a daemon may have received the call and carried it out. */
  readonly maybeSent: boolean;
  /** One line for each daemon that was tried. */
  readonly reasons: readonly string[];
}

/** The outcome of a call. */
export type CallOutcome = DaemonAnswer | NoAnswer;

/** One call of the operator API. */
export interface OperatorCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

const CONNECT_TIMEOUT_MS = 2_000;

/** Makes the call; tries the next daemon if one can't be reached or its answer is lost. */
export async function callOperator(
  options: OperatorClientOptions,
  call: OperatorCall,
): Promise<CallOutcome> {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: options.timeoutMs,
    bodyTimeout: options.timeoutMs,
  });
  try {
    return await callFirstAvailable(options, call, agent);
  } finally {
    await agent.destroy();
  }
}

async function callFirstAvailable(
  options: OperatorClientOptions,
  call: OperatorCall,
  agent: Agent,
): Promise<CallOutcome> {
  const reasons: string[] = [];
  let maybeSent = false;
  for (const endpoint of options.daemons) {
    const daemon = formatEndpoint(endpoint);
    try {
      const { status, body } = await callDaemon(daemon, options.token, call, agent);
      return { kind: 'answered', daemon, status, body, earlierAnswerLost: maybeSent };
    } catch (error) {
      maybeSent = maybeSent || !isNotSent(error);
      reasons.push(`${daemon}: ${errorMessage(error)}`);
    }
  }
  return { kind: 'no-answer', maybeSent, reasons };
}

async function callDaemon(
  daemon: string,
  token: string | null,
  call: OperatorCall,
  agent: Agent,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const answer = await request(`http://${daemon}${call.path}`, {
    method: call.method,
    dispatcher: agent,
    headers: {
      ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(token === null ? {} : { authorization: `Bearer ${token}` }),
    },
    body: call.body === undefined ? null : JSON.stringify(call.body),
  });
  return { status: answer.statusCode, body: JSON.parse(await readText(answer.body)) };
}
