/** Waits for what a fault test must see; the bound is far above what a slow machine needs. */
import { AssertionError } from 'node:assert';
import { until } from '../../../src/lab/fleet/until.js';

const TIMEOUT_MS = 45_000;
const never = new AbortController().signal;

/**
 * Asks until the answer is not null. A question that can't be asked is asked again, but an
 * assertion that fails while asking fails the test at once.
 */
export async function eventually<T>(what: string, poll: () => Promise<T | null>): Promise<T> {
  const result = await until(() => settle(poll), { what, timeoutMs: TIMEOUT_MS, signal: never });
  if ('failure' in result) throw result.failure;
  return result.answer;
}

/** Asks until the condition holds. */
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
