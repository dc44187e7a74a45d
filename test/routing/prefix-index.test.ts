import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseEngine, PrefixIndex } from '../../src/core/routing/index.js';
import { choiceInput, createIndex, target, view } from './fixtures.js';

const hashesOf = (prompt: string, blocks: number) =>
  Array.from({ length: blocks }, (_, block) => `${prompt}.${block}`);

describe('prefix index', () => {
  it('returns holders of the longest prefix first, and removes evicted hashes and engines', () => {
    const index = new PrefixIndex();
    index.recordDispatch('x', hashesOf('p', 3));
    index.recordDispatch('y', hashesOf('p', 1));
    index.applyCacheEvents('z', [{ kind: 'stored', hash: 'p.1' }]);
    const names = () =>
      index.matches(hashesOf('p', 4)).map(({ backend, blocks }) => [backend, blocks]);
    assert.deepEqual(names(), [
      ['x', 3],
      ['z', 2],
      ['y', 1],
    ]);
    index.applyCacheEvents('x', [{ kind: 'evicted', hash: 'p.2' }]);
    assert.deepEqual(names()[0], ['z', 2]);
    index.forget('z');
    assert.deepEqual(names(), [
      ['x', 2],
      ['y', 1],
    ]);
    assert.deepEqual(index.matches(hashesOf('q', 4)), []);
  });

  it('finds the length of a long prefix to within one eighth', () => {
    const index = new PrefixIndex();
    index.recordDispatch('x', hashesOf('p', 1_000));
    for (const length of [5, 17, 40, 333, 1_000]) {
      const [match] = index.matches(hashesOf('p', length));
      assert.ok((match?.blocks ?? 0) >= 0.875 * length, `${match?.blocks} of ${length}`);
      assert.ok((match?.blocks ?? 0) <= length);
    }
  });

  it('has a bounded size, and keeps hashes that are used again', () => {
    const index = new PrefixIndex();
    for (let prompt = 0; prompt < 100_000; prompt += 1) {
      index.recordDispatch('x', [`p${prompt}`, 'shared']);
    }
    assert.equal(index.matches(['p0']).length, 0);
    assert.equal(index.matches(['p99999']).length, 1);
    assert.equal(index.matches(['shared']).length, 1);
  });

  it('prefers the engine that cached the prefix of a request, unless it is full', () => {
    const names = Array.from({ length: 30 }, (_, place) => `e${place}`);
    const prefixes = new PrefixIndex();
    prefixes.recordDispatch('e7', hashesOf('p', 20));
    const long = target({ promptTokens: 20 * 64, prefixHashes: hashesOf('p', 20) });
    const engineOf = (activeRequests: number, entropy: number) => {
      const index = createIndex(names.map((name) => view(name, { reportedAt: 1_000 })));
      const known = view('e7', { reportedAt: 1_000 });
      const report = known.report === null ? null : { ...known.report, activeRequests };
      index.setView({ ...known, report, reportedAt: 1_000 });
      const context = { now: 1_000, entropy };
      const decision = chooseEngine(choiceInput(index, { target: long, prefixes, context }));
      return decision.kind === 'chosen' ? decision.engine : decision.kind;
    };
    for (let entropy = 0; entropy < 20; entropy += 1) {
      assert.equal(engineOf(0, entropy), 'e7');
      assert.notEqual(engineOf(20, entropy), 'e7');
    }
  });
});
