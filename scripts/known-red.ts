/**
 * KNOWN-RED.txt lists tests that are known to fail because of a fault that is not fixed yet. A test
 * run tolerates failures of these tests only, and prints them.
 */
import { err, ok, type Result } from 'neverthrow';

/** Maximum number of listed tests. */
const MAX_KNOWN_RED = 3;

/** A line of KNOWN-RED.txt: `test | cause | issue`. */
export interface KnownRedTest {
  /** `<test file's path> > <suite> > … > <test>`, as the run prints it. */
  readonly test: string;
  readonly cause: string;
  /** The number of the issue for the fault. */
  readonly issue: string;
}

/** Parses the list; blank lines and lines that start with `#` are ignored. */
export function parseKnownRed(text: string): Result<readonly KnownRedTest[], readonly string[]> {
  const lines = text.split('\n').map((line) => line.trim());
  const entries = lines.filter((line) => line !== '' && !line.startsWith('#'));
  const parsed = entries.map(parseLine);
  const problems = parsed.flatMap((entry) => (entry.isErr() ? [entry.error] : []));
  if (entries.length > MAX_KNOWN_RED) {
    problems.push(`lists ${entries.length} tests; at most ${MAX_KNOWN_RED} may be known red`);
  }
  const tests = parsed.flatMap((entry) => (entry.isOk() ? [entry.value] : []));
  return problems.length > 0 ? err(problems) : ok(tests);
}

function parseLine(line: string): Result<KnownRedTest, string> {
  const [test = '', cause = '', issue = '', ...rest] = line.split('|').map((field) => field.trim());
  if (test === '' || cause === '') return err(`line lacks test or cause: ${line}`);
  const number = /^(?:issue )?#?(\d+)$/.exec(issue)?.[1];
  if (number === undefined || rest.length > 0) {
    return err(`line lacks an issue number as its third field: ${line}`);
  }
  return ok({ test, cause, issue: number });
}

/** How one test ended. */
export interface TestOutcome {
  readonly test: string;
  readonly kind: 'passed' | 'failed' | 'skipped';
}

/** The verdict on a test run. */
export interface Verdict {
  readonly isGood: boolean;
  readonly lines: readonly string[];
}

/** Judges a run: only listed tests may fail, no test may be skipped, and all listed tests must run. */
export function judge(
  outcomes: readonly TestOutcome[],
  knownRed: readonly KnownRedTest[],
): Verdict {
  const listed = new Map(knownRed.map((entry) => [entry.test, entry]));
  const problems = [
    ...outcomes.flatMap((outcome) => problemsOf(outcome, listed.has(outcome.test))),
    ...notRun(outcomes, knownRed),
    ...(outcomes.length === 0 ? ['no test ran'] : []),
  ];
  const notes = outcomes.flatMap((outcome) => notesOn(outcome, listed.get(outcome.test)));
  return { isGood: problems.length === 0, lines: [...notes, ...problems] };
}

function problemsOf(outcome: TestOutcome, isListed: boolean): readonly string[] {
  if (outcome.kind === 'skipped') return [`skipped or todo, which is not allowed: ${outcome.test}`];
  if (outcome.kind === 'failed' && !isListed) return [`failed: ${outcome.test}`];
  return [];
}

function notesOn(outcome: TestOutcome, entry: KnownRedTest | undefined): readonly string[] {
  if (entry === undefined) return [];
  if (outcome.kind === 'failed') {
    return [`known red, passed over: ${entry.test} (${entry.cause}; issue ${entry.issue})`];
  }
  return [`known red but ${outcome.kind}; take it off KNOWN-RED.txt: ${entry.test}`];
}

function notRun(
  outcomes: readonly TestOutcome[],
  knownRed: readonly KnownRedTest[],
): readonly string[] {
  const ran = new Set(outcomes.map((outcome) => outcome.test));
  return knownRed
    .filter((entry) => !ran.has(entry.test))
    .map((entry) => `KNOWN-RED.txt names a test that did not run: ${entry.test}`);
}
