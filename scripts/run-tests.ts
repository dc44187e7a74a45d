/**
 * Runs the compiled tests with node:test and judges them against KNOWN-RED.txt.
 *
 *     node dist/scripts/run-tests.js [--known-red FILE] [SOURCE.ts…]
 *
 * Without files it runs every `test/**` file. Those of crowds run one at a time, after all others.
 * The output ends with node:test's summary lines, summed up. Exit code 0: all tests passed, except
 * listed ones; 1: a test failed; 2: the list is invalid.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve, sep } from 'node:path';
import { run } from 'node:test';
import { type TestEvent, tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { joinRuns } from './joined-runs.js';
import { judge, type KnownRedTest, parseKnownRed } from './known-red.js';
import { TestOutcomes } from './test-outcomes.js';

const DIST_ROOT = fileURLToPath(new URL('..', import.meta.url));
const PROJECT_ROOT = resolve(DIST_ROOT, '..');
/** Test files run in parallel; few, so that tests with sockets are not slowed down on small machines. */
const CONCURRENT_FILES = 6;
/** Each of these takes much of a machine, and some memory of the test's own: they run one at a time, after the others. */
const SERIAL_FOLDER = join('test', 'resources', 'crowds');
const FILE_TIMEOUT_MS = 180_000;
const EXIT_RED = 1;
const EXIT_USAGE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { 'known-red': { type: 'string', default: join(PROJECT_ROOT, 'KNOWN-RED.txt') } },
});

function allTestSources(): readonly string[] {
  return readdirSync(join(PROJECT_ROOT, 'test'), { recursive: true, encoding: 'utf8' })
    .filter((path) => path.endsWith('.test.ts'))
    .map((path) => join('test', path))
    .sort();
}

function compiledFile(source: string): string {
  return join(DIST_ROOT, source.replace(/\.ts$/, '.js'));
}

function readKnownRed(path: string): readonly KnownRedTest[] {
  const parsed = parseKnownRed(existsSync(path) ? readFileSync(path, 'utf8') : '');
  if (parsed.isOk()) return parsed.value;
  for (const problem of parsed.error) console.error(`${path}: ${problem}`);
  process.exit(EXIT_USAGE);
}

/** Whether an event is the first of node:test's final summary lines. */
function opensSummary(event: TestEvent): boolean {
  return event.type === 'test:diagnostic' && /^tests \d+$/.test(event.data.message);
}

const isFullRun = positionals.length === 0;
const sources = isFullRun ? allTestSources() : positionals;
const listed = readKnownRed(values['known-red']);
// In a partial run, only the listed tests of the given files are expected to run.
const knownRed = isFullRun
  ? listed
  : listed.filter((entry) => sources.some((source) => entry.test.startsWith(source)));
const outcomes = new TestOutcomes(DIST_ROOT);
let isJudged = false;
let isGood = false;

/** Forwards the events and inserts the verdict before the summary. */
async function* withVerdict(events: AsyncIterable<TestEvent>): AsyncGenerator<TestEvent, void> {
  for await (const event of events) {
    outcomes.observe(event);
    if (!isJudged && opensSummary(event)) {
      const verdict = judge(outcomes.all, knownRed);
      isJudged = true;
      isGood = verdict.isGood;
      for (const message of verdict.lines) {
        yield { type: 'test:diagnostic', data: { nesting: 0, message } };
      }
    }
    yield event;
  }
}

function isSerial(source: string): boolean {
  return source.startsWith(`${SERIAL_FOLDER}${sep}`);
}

function runOf(files: readonly string[], concurrency: number): () => AsyncIterable<TestEvent> {
  return () => run({ files: files.map(compiledFile), concurrency, timeout: FILE_TIMEOUT_MS });
}

const groups = [
  { files: sources.filter((source) => !isSerial(source)), concurrency: CONCURRENT_FILES },
  { files: sources.filter(isSerial), concurrency: 1 },
];
// Without files, node:test would look for some by itself.
const runs = groups
  .filter(({ files }) => files.length > 0)
  .map(({ files, concurrency }) => runOf(files, concurrency));
const events = joinRuns(runs);
for await (const text of tap(withVerdict(events))) process.stdout.write(text);
// Overrides the exit code of node:test, which is set for any failure, also of a listed test.
process.exitCode = isGood ? 0 : EXIT_RED;
