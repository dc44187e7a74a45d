/** Joins the event streams of several runs of node:test, one after the other, into one with a single summary. */
import type { TestEvent } from 'node:test/reporters';

type Outcome = Extract<TestEvent, { type: 'test:pass' | 'test:fail' }>;

const SUMMARY_LINE =
  /^(tests|suites|pass|fail|cancelled|skipped|todo|duration_ms) (\d+(?:\.\d+)?)$/;

/**
 * Starts each run when the one before has ended, and forwards its events. The tests are numbered through; the plan and the
 * summary lines come once, with the sums of all runs.
 */
export async function* joinRuns(
  runs: readonly (() => AsyncIterable<TestEvent>)[],
): AsyncGenerator<TestEvent, void> {
  const sums = new Map<string, number>();
  let count = 0;
  for (const start of runs) {
    const before = count;
    for await (const event of start()) {
      const summary = summaryOf(event);
      if (summary !== undefined)
        sums.set(summary.name, (sums.get(summary.name) ?? 0) + summary.value);
      else if (isPlan(event)) count += event.data.count;
      else yield isOutcome(event) ? renumbered(event, before) : event;
    }
  }
  yield { type: 'test:plan', data: { nesting: 0, count } };
  for (const [name, value] of sums) {
    yield { type: 'test:diagnostic', data: { nesting: 0, message: `${name} ${value}` } };
  }
}

function isPlan(event: TestEvent): event is Extract<TestEvent, { type: 'test:plan' }> {
  return event.type === 'test:plan' && event.data.nesting === 0;
}

function isOutcome(event: TestEvent): event is Outcome {
  return (event.type === 'test:pass' || event.type === 'test:fail') && event.data.nesting === 0;
}

function renumbered(event: Outcome, before: number): TestEvent {
  const testNumber = event.data.testNumber + before;
  // The members of a union are spread one by one, as each has data of its own.
  if (event.type === 'test:pass') return { type: event.type, data: { ...event.data, testNumber } };
  return { type: event.type, data: { ...event.data, testNumber } };
}

function summaryOf(
  event: TestEvent,
): { readonly name: string; readonly value: number } | undefined {
  if (event.type !== 'test:diagnostic' || event.data.nesting !== 0) return undefined;
  const [, name, value] = SUMMARY_LINE.exec(event.data.message) ?? [];
  return name === undefined ? undefined : { name, value: Number(value) };
}
