/** The emulated engine's model in virtual time: batching, memory, resumption, cancellation, reports. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { EngineOutput, EngineWork } from '../../src/lab/engine/index.js';
import {
  describePrompt,
  EngineModel,
  expectedTokens,
  tokenAt,
} from '../../src/lab/engine/index.js';
import type { EngineModelOptions } from '../../src/lab/engine/options.js';
import { LABELS, orderOf, TO_DECODE } from './fixtures.js';

const LONG_AFTER_MS = 1e9;
const PROMPT = 'Rosa canina L., leg. J. Kops 1802, in dunis prope Leidam. '.repeat(40);

function newModel(options: Partial<EngineModelOptions> = {}): EngineModel {
  const identity = { name: 'engine-1', boot: 'boot-1', role: 'mixed', seed: 7 } as const;
  return new EngineModel({ ...identity, models: [LABELS], accelerator: 'new', ...options }, 0);
}

interface Submission {
  readonly priority?: number;
  readonly prompt?: string;
  readonly maxTokens?: number;
  readonly resumeOffset?: number;
  readonly kvHandle?: string;
  readonly prefill?: boolean;
}

function submit(model: EngineModel, now: number, attempt: string, submission: Submission = {}) {
  const { maxTokens = 8, resumeOffset = 0, kvHandle = null } = submission;
  const completion = { kind: 'completion', streamed: true, maxTokens, resumeOffset, kvHandle };
  const work = (submission.prefill === true ? { kind: 'prefill' } : completion) as EngineWork;
  return model.submit(now, {
    attempt,
    priority: submission.priority ?? 5,
    name: 'labels',
    version: null,
    describe: (resolved) => describePrompt(resolved, submission.prompt ?? `${attempt} ${PROMPT}`),
    work,
  });
}

function finishedAt(outputs: readonly EngineOutput[]): Map<string, number> {
  const ends = outputs.filter((output) => output.kind === 'finished');
  return new Map(ends.map((output) => [output.attempt, output.at]));
}

function tokensOf(outputs: readonly EngineOutput[], attempt: string): string[] {
  return outputs.flatMap((output) =>
    output.kind === 'token' && output.attempt === attempt
      ? [tokenAt(output.digest, output.offset)]
      : [],
  );
}

function refusalCode(answer: ReturnType<typeof submit>): string | null {
  return answer.kind === 'refused' ? answer.code : null;
}

function expected(prompt: string, count: number): string[] {
  return expectedTokens({ model: 'labels', version: 'v1', adapter: null, prompt, count });
}

test('a batch of 8 requests ends well before 8 requests that run one after another', () => {
  const batched = newModel();
  for (let index = 0; index < 8; index += 1) submit(batched, 0, `r${index}`, { maxTokens: 100 });
  const batchMs = Math.max(...finishedAt(batched.advance(LONG_AFTER_MS)).values());
  const serial = newModel();
  let serialMs = 0;
  for (let index = 0; index < 8; index += 1) {
    submit(serial, serialMs, `r${index}`, { maxTokens: 100 });
    serialMs = Math.max(...finishedAt(serial.advance(serialMs + 1e6)).values());
  }
  assert.ok(batchMs * 4 < serialMs, `${batchMs} against ${serialMs} ms`);
});

test('the old accelerator prefills and decodes more slowly than the new one', () => {
  const times = (['new', 'old'] as const).map((accelerator) => {
    const model = newModel({ accelerator });
    submit(model, 0, 'r1', { maxTokens: 20 });
    return finishedAt(model.advance(LONG_AFTER_MS)).get('r1') ?? 0;
  });
  assert.ok((times[1] ?? 0) > 1.5 * (times[0] ?? 0), String(times));
});

test('a cached prefix is not prefilled again until an order restarts the workers', () => {
  const catalogue = 'x'.repeat(64_000);
  const firstTokenMs = (model: EngineModel, now: number, attempt: string): number => {
    submit(model, now, attempt, { prompt: `${catalogue}${attempt}`, maxTokens: 1 });
    return (finishedAt(model.advance(now + 1e5)).get(attempt) ?? 0) - now;
  };
  const model = newModel();
  const cold = firstTokenMs(model, 0, 'cold');
  const warm = firstTokenMs(model, 1e5, 'warm');
  assert.ok(warm * 5 < cold, `${warm} against ${cold} ms`);
  model.order(2e5, orderOf('boot-1', 1, TO_DECODE));
  model.order(3e5, orderOf('boot-1', 2, { kind: 'set-role', role: 'mixed' }));
  const restarted = firstTokenMs(model, 4e5, 'restarted');
  assert.ok(restarted * 1.2 > cold, `${restarted} against ${cold} ms`);
  const smallCache = newModel({ prefixCacheBlocks: 4 });
  firstTokenMs(smallCache, 0, 'cold');
  const bounded = firstTokenMs(smallCache, 1e5, 'bounded');
  assert.ok(bounded * 1.2 > cold, `${bounded} against ${cold} ms`);
});

test('cache events are published with a delay, in order and with gaps', () => {
  const model = newModel({ cacheEventDelayMs: 1_000, cacheEventLoss: 0.2 });
  submit(model, 0, 'r1', { prompt: 'y'.repeat(25_600), maxTokens: 1 });
  const end = finishedAt(model.advance(1e5)).get('r1') ?? 0;
  assert.equal(model.cacheEvents(end + 400, 0).events.length, 0);
  const page = model.cacheEvents(1e6, 0);
  const numbers = page.events.map((event) => event.n);
  assert.deepEqual(
    [...numbers].sort((left, right) => left - right),
    numbers,
  );
  assert.ok(numbers.length > 60 && numbers.length < 100, String(numbers.length));
  assert.equal(page.last, 100);
  assert.deepEqual(model.cacheEvents(1e6, 100), { events: [], last: 100 });
});

test('the waiting queue is ordered by priority, then by arrival, and limited in length', () => {
  const model = newModel({ maxBatch: 1, maxQueue: 3 });
  submit(model, 0, 'running');
  submit(model, 0, 'late-low', { priority: 9 });
  submit(model, 0, 'low', { priority: 9 });
  submit(model, 0, 'high', { priority: 0 });
  const full = submit(model, 0, 'too-many', { priority: 0 });
  assert.equal(refusalCode(full), 'engine-full');
  assert.ok(full.kind === 'refused' && (full.retryAfterSeconds ?? 0) >= 1);
  const order = [...finishedAt(model.advance(LONG_AFTER_MS)).keys()];
  assert.deepEqual(order, ['running', 'high', 'late-low', 'low']);
});

test('a resumed request returns exactly the tail of the complete answer, also if the tail is empty', () => {
  const completeTokens = expected(PROMPT, 12);
  for (const resumeOffset of [0, 1, 11, 12]) {
    const model = newModel();
    submit(model, 0, 'r1', { prompt: PROMPT, maxTokens: 12, resumeOffset });
    const outputs = model.advance(LONG_AFTER_MS);
    assert.deepEqual(tokensOf(outputs, 'r1'), completeTokens.slice(resumeOffset));
    const last = outputs.at(-1);
    assert.equal(last?.kind === 'finished' && last.completionTokens, 12);
  }
  assert.equal(refusalCode(submit(newModel(), 0, 'r1', { resumeOffset: 9 })), 'invalid-request');
});

test('cancelling a request frees its place in the batch for a waiting request', () => {
  const model = newModel({ maxBatch: 1 });
  submit(model, 0, 'long', { maxTokens: 10_000 });
  submit(model, 0, 'next', { maxTokens: 1 });
  assert.equal(tokensOf(model.advance(500), 'next').length, 0);
  assert.equal(model.cancel(500, 'long'), true);
  assert.equal(model.cancel(500, 'long'), false);
  const outputs = model.advance(600);
  assert.equal(tokensOf(outputs, 'long').length, 0);
  assert.ok(finishedAt(outputs).has('next'));
  assert.equal(model.activeRequests, 0);
});

test('a report contains the load with a lag and all other values as they are now', () => {
  const model = newModel({ reportLagMs: 300 });
  submit(model, 1_000, 'r1', { maxTokens: 100_000 });
  const early = model.report(1_200);
  assert.deepEqual([early.activeRequests, early.load.running, early.load.ageMs], [1, 0, 300]);
  const later = model.report(1_301);
  assert.deepEqual([later.load.running, later.load.ageMs], [1, 300]);
  assert.ok(model.report(5_000).load.decodeStepMs > 0);
});

test('with too little KV memory the lowest priority is preempted, and every answer is still complete', () => {
  const newModelWithLittleMemory = (): EngineModel => {
    const model = newModel({ kvCapacityTokens: 1_500, reportLagMs: 0 });
    for (const priority of [9, 3, 0]) {
      const prompt = `${priority}${PROMPT}`;
      submit(model, 0, `p${priority}`, { prompt, maxTokens: 800, priority });
    }
    return model;
  };
  const model = newModelWithLittleMemory();
  const outputs = model.advance(LONG_AFTER_MS);
  const ends = finishedAt(outputs);
  assert.deepEqual([...ends.keys()], ['p0', 'p3', 'p9']);
  for (const priority of [9, 3, 0]) {
    const tokens = tokensOf(outputs, `p${priority}`);
    assert.deepEqual(tokens, expected(`${priority}${PROMPT}`, 800));
  }
  const endOfFirst = ends.get('p0') ?? 0;
  const early = outputs.filter((output) => output.kind === 'token' && output.at < endOfFirst);
  const lowPriorityTokens = tokensOf(early, 'p9').length;
  assert.ok(
    lowPriorityTokens > 0 && lowPriorityTokens < 400,
    `${lowPriorityTokens} tokens before it yielded`,
  );
  // Preempted requests hold no memory and must prefill their prompt and the tokens written so far again.
  const { load } = newModelWithLittleMemory().report(endOfFirst - 0.01);
  const promptTokens = Math.ceil((PROMPT.length + 1) / 4);
  assert.deepEqual([load.running, load.queued], [1, 2]);
  const expectedPrefillTokens = 2 * promptTokens + lowPriorityTokens + tokensOf(early, 'p3').length;
  assert.equal(load.queuedPrefillTokens, expectedPrefillTokens);
  const tooLong = submit(model, LONG_AFTER_MS, 'r9', { maxTokens: 1_500 });
  assert.equal(refusalCode(tooLong), 'invalid-request');
});

test('KV is transferred from a prefill engine to a decode engine, and a handle expires', () => {
  const prefillModel = newModel({ role: 'prefill' });
  const decodeModel = newModel({ role: 'decode', boot: 'boot-2' });
  assert.equal(refusalCode(submit(prefillModel, 0, 'r1')), 'wrong-role');
  assert.equal(refusalCode(submit(decodeModel, 0, 'r1', { prefill: true })), 'wrong-role');
  submit(prefillModel, 0, 'r1', { prefill: true, prompt: PROMPT });
  const prefilled = prefillModel.advance(1_000).find((output) => output.kind === 'prefilled');
  const exportedKv = prefillModel.exportKv(1_000, prefilled?.kvHandle ?? '');
  assert.ok(exportedKv !== null && decodeModel.kvTransferMs(exportedKv) > 0);
  const kvHandle = decodeModel.importKv(1_000, exportedKv) ?? '';
  assert.ok(decodeModel.report(10_000).load.kvUsed > 0);
  submit(decodeModel, 1_000, 'r1', { kvHandle, maxTokens: 5 });
  assert.equal(decodeModel.report(1_000).load.queuedPrefillTokens, 0);
  assert.deepEqual(tokensOf(decodeModel.advance(2_000), 'r1'), expected(PROMPT, 5));
  assert.equal(refusalCode(submit(decodeModel, 2_000, 'r2', { kvHandle })), 'kv-gone');
  assert.equal(prefillModel.exportKv(31_500, prefilled?.kvHandle ?? ''), null);
});

test('the same seed gives the same outputs, and no token is lost or duplicated', () => {
  const action = fc.record({
    kind: fc.constantFrom('submit', 'submit', 'cancel', 'pause', 'resume'),
    attempt: fc.integer({ min: 0, max: 12 }),
    waitMs: fc.integer({ min: 0, max: 200 }),
    maxTokens: fc.integer({ min: 1, max: 40 }),
    resumeOffset: fc.integer({ min: 0, max: 5 }),
    priority: fc.integer({ min: 0, max: 9 }),
  });
  const run = (actions: readonly (typeof action extends fc.Arbitrary<infer A> ? A : never)[]) => {
    const model = newModel({ maxBatch: 3, kvCapacityTokens: 900 });
    const acceptedSubmissions = new Map<string, Submission>();
    const outputs: EngineOutput[] = [];
    const cancelledNames = new Set<string>();
    let now = 0;
    for (const [index, step] of actions.entries()) {
      now += step.waitMs;
      outputs.push(...model.advance(now));
      const attempt = `a${step.attempt}`;
      if (step.kind === 'submit') {
        const name = `${attempt}.${index}`;
        if (submit(model, now, name, step).kind === 'accepted') acceptedSubmissions.set(name, step);
      } else {
        const names = [...acceptedSubmissions.keys()].filter((name) =>
          name.startsWith(`${attempt}.`),
        );
        for (const name of names) {
          if (step.kind === 'cancel' && model.cancel(now, name)) cancelledNames.add(name);
          model.setPaused(now, name, step.kind === 'pause');
        }
      }
    }
    for (const name of acceptedSubmissions.keys()) model.setPaused(now, name, false);
    outputs.push(...model.advance(LONG_AFTER_MS));
    assert.equal(model.activeRequests, 0);
    for (const [name, submission] of acceptedSubmissions) {
      const completeTokens = expected(`${name} ${PROMPT}`, submission.maxTokens ?? 0);
      const tail = completeTokens.slice(submission.resumeOffset);
      const written = tokensOf(outputs, name);
      assert.deepEqual(written, cancelledNames.has(name) ? tail.slice(0, written.length) : tail);
    }
    return outputs;
  };
  const actions = fc.array(action, { maxLength: 40 });
  fc.assert(
    fc.property(actions, (list) => assert.deepEqual(run(list), run(list))),
    { seed: 11, numRuns: 60 },
  );
});
