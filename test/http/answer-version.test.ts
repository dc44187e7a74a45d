import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChunkRewriter } from '../../src/shell/http/chunk-rewriter.js';
import { EventBuffer } from '../../src/shell/http/event-buffer.js';

const ANSWER_HEAD = { id: 'cmpl-1', created: 7, model: 'labels', shape: 'completion' } as const;

function frame(text: string, version: string | null): Buffer {
  const fingerprint = version === null ? {} : { system_fingerprint: version };
  const choices = [{ index: 0, text, finish_reason: null }];
  const data = { id: 'a', object: 'text_completion', model: 'labels', ...fingerprint, choices };
  return Buffer.from(JSON.stringify(data));
}

function rewritten(rewriter: ChunkRewriter, data: Buffer): string {
  const output = new EventBuffer();
  const kind = rewriter.rewrite(data, 0, data.length, output);
  return kind === 'token' ? output.take().toString() : kind;
}

test('every event of an answer names the model version that generated it', () => {
  const rewriter = new ChunkRewriter(ANSWER_HEAD, null, false);
  for (const text of ['one', 'two', 'three']) {
    assert.equal(
      rewritten(rewriter, frame(text, '7+2')),
      `data: {"id":"cmpl-1","object":"text_completion","created":7,"model":"labels","system_fingerprint":"7+2","choices":[{"index":0,"text":"${text}","finish_reason":null}]}\n\n`,
    );
  }
  assert.equal(rewriter.version, '7+2');
});

test('a frame with another version than the answer, or with none, is malformed', () => {
  const rewriter = new ChunkRewriter(ANSWER_HEAD, null, false);
  assert.match(rewritten(rewriter, frame('one', '7')), /"text":"one"/);
  assert.equal(rewritten(rewriter, frame('two', '8')), 'malformed');
  assert.equal(
    rewritten(new ChunkRewriter(ANSWER_HEAD, '7', false), frame('two', '8')),
    'malformed',
  );
  assert.equal(
    rewritten(new ChunkRewriter(ANSWER_HEAD, '7', false), frame('two', null)),
    'malformed',
  );
  assert.match(
    rewritten(new ChunkRewriter(ANSWER_HEAD, '7', false), frame('two', '7')),
    /"text":"two"/,
  );
});

test('frames of an engine that states no version are accepted', () => {
  const rewriter = new ChunkRewriter(ANSWER_HEAD, null, false);
  assert.doesNotMatch(rewritten(rewriter, frame('one', null)), /fingerprint|malformed/);
  assert.equal(rewriter.version, null);
});
