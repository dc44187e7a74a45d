/**
 * The cost of a request in prompt-token equivalents, the unit in which class shares and tenant weights are counted.
 */
import type { RequestTarget } from '../requests/types.js';

/**
 * The cost of an output token relative to a prompt token: engines process some thousands of prompt tokens per second
 * but generate only some hundreds of output tokens.
 */
const OUTPUT_TOKEN_COST = 6;
/** The cost of a request to a web backend, which has no tokens. */
const WEB_REQUEST_COST = 1;

/** The tokens that a request used. */
export interface TokenUse {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The cost of tokens; at least 1, so that no request is free. */
export function tokenCost(use: TokenUse): number {
  return Math.max(1, use.promptTokens + OUTPUT_TOKEN_COST * use.outputTokens);
}

/** The cost estimated before a request runs: it is assumed to generate its maximum number of output tokens. */
export function estimatedCost(target: RequestTarget): number {
  if (target.kind === 'web') {
    return WEB_REQUEST_COST;
  }
  return tokenCost({ promptTokens: target.promptTokens, outputTokens: target.maxOutputTokens });
}
