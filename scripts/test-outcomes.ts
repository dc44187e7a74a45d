/**
 * Extracts the outcomes of individual tests from the event stream of node:test.
 */
import { relative } from 'node:path';
import type { TestEvent } from 'node:test/reporters';
import type { TestOutcome } from './known-red.js';

type PassEvent = Extract<TestEvent, { type: 'test:pass' }>;
type FailEvent = Extract<TestEvent, { type: 'test:fail' }>;
type StartEvent = Extract<TestEvent, { type: 'test:start' }>;

/** Collects outcomes; a suite that fails only because of its tests is not counted in addition. */
export class TestOutcomes {
  readonly #outcomes: TestOutcome[] = [];
  /** The names from the outermost suite to the last started test, by file. */
  readonly #running = new Map<string, string[]>();

  constructor(private readonly distRoot: string) {}

  /** All outcomes so far. */
  get all(): readonly TestOutcome[] {
    return this.#outcomes;
  }

  /** Records an event of the stream. */
  observe(event: TestEvent): void {
    if (event.type === 'test:start') this.#path(event);
    if (event.type === 'test:pass' && event.data.details.type !== 'suite') {
      this.#add(event, isSkipped(event) ? 'skipped' : 'passed');
    }
    if (event.type === 'test:fail' && failureType(event) !== 'subtestsFailed') {
      this.#add(event, isSkipped(event) ? 'skipped' : 'failed');
    }
  }

  #add(event: PassEvent | FailEvent, kind: TestOutcome['kind']): void {
    this.#outcomes.push({ test: this.#path(event), kind });
  }

  #path(event: PassEvent | FailEvent | StartEvent): string {
    const { file = '', name, nesting } = event.data;
    const names = (this.#running.get(file) ?? []).slice(0, nesting);
    names[nesting] = name;
    this.#running.set(file, names);
    const source = relative(this.distRoot, file).replace(/\.js$/, '.ts');
    // A test file whose process fails is reported as a test named after the file.
    return name === file ? source : [source, ...names].join(' > ');
  }
}

function isSkipped(event: PassEvent | FailEvent): boolean {
  return event.data.skip !== undefined || event.data.todo !== undefined;
}

function failureType(event: FailEvent): unknown {
  return Reflect.get(event.data.details.error, 'failureType');
}
