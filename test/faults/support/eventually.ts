/** Waits for conditions in fault tests; the time-out is far above what a slow machine needs. */
import { AssertionError } from 'node:assert';
import { pollUntil } from '../../../src/lab/fleet/poll-until.js';

const TIMEOUT_MS = 45_000;
const never = new AbortController().signal;

/**
 * Polls until the result is not null. After any other error the poll is repeated, but an assertion that fails within the
 * poll fails the test at once.
 */
export async function eventually<T>(what: string, poll: () => Promise<T | null>): Promise<T> {
  const result = await pollUntil(() => settle(poll), {
    what,
    timeoutMs: TIMEOUT_MS,
    signal: never,
  });
  if ('failure' in result) throw result.failure;
  return result.answer;
}

/** Polls until the condition holds. */
export async function eventuallyTrue(
  what: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  await eventually(what, async () => ((await condition()) ? true : null));
}

type Settled<T> = { readonly answer: T } | { readonly failure: AssertionError };

async function settle<T>(poll: () => Promise<T | null>): Promise<Settled<T> | null> {
  try {
    const answer = await poll();
    return answer === null ? null : { answer };
  } catch (error) {
    if (error instanceof AssertionError) return { failure: error };
    throw error;
  }
}
