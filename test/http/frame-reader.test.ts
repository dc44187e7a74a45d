/** Compares the frame reader with a simple model, for random frames and random chunking. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type FrameKind, FrameReader } from '../../src/shell/http/frame-reader.js';
import { inSingleBytes, measureJoinedBytes } from '../bytes/support/joined-bytes.js';

const OWN = 'd1-1-1.2';
const MAX_FRAME_BYTES = 200;
const MAX_LARGE_FRAME_BYTES = 65_536;
/** Blocks of a frame of that size. */
const MAX_JOINED_BUFFERS = 32;

interface Reading {
  readonly tokens: string[];
  readonly reader: FrameReader;
  done: boolean;
}

function read(chunks: readonly Buffer[], nextOffset = 0): Reading {
  const tokens: string[] = [];
  const sink = {
    frame(bytes: Buffer, start: number, end: number): FrameKind {
      const text = bytes.toString('utf8', start, end);
      if (text === 'usage') return 'usage';
      if (text === 'bad') return 'malformed';
      tokens.push(text);
      return 'token';
    },
    done(): void {
      reading.done = true;
    },
  };
  const reader = new FrameReader(OWN, nextOffset, MAX_FRAME_BYTES, sink);
  const reading: Reading = { tokens, reader, done: false };
  for (const chunk of chunks) reader.push(chunk);
  return reading;
}

/** Splits the bytes at the given positions. */
function splitAt(bytes: Buffer, positions: readonly number[]): Buffer[] {
  const sorted = [...new Set(positions.map((position) => position % (bytes.length + 1)))].sort(
    (a, b) => a - b,
  );
  const edges = [0, ...sorted, bytes.length];
  return edges.slice(1).map((edge, index) => bytes.subarray(edges[index], edge));
}

type Frame =
  | { readonly kind: 'own'; readonly offset: number; readonly text: string }
  | { readonly kind: 'foreign'; readonly attempt: string; readonly offset: number };

const frame: fc.Arbitrary<Frame> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('own' as const),
      offset: fc.nat(6),
      text: fc.stringMatching(/^[a-zé☃]{1,8}$/),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('foreign' as const),
      attempt: fc.constantFrom('d1-1-1.1', 'd1-1-1.22', 'd1-1-1', 'd2-1-1.2', 'x'),
      offset: fc.nat(6),
    }),
  },
);

function encode(item: Frame): string {
  if (item.kind === 'own') return `id: ${OWN}:${item.offset}\ndata: ${item.text}\n\n`;
  return `id: ${item.attempt}:${item.offset}\ndata: not for this caller\n\n`;
}

/** The expected tokens: each offset of the own attempt once, up to the first gap. */
function oracle(frames: readonly Frame[], start: number): { tokens: string[]; gap: boolean } {
  const tokens: string[] = [];
  for (const item of frames) {
    if (item.kind === 'foreign' || item.offset < start + tokens.length) continue;
    if (item.offset > start + tokens.length) return { tokens, gap: true };
    tokens.push(item.text);
  }
  return { tokens, gap: false };
}

test('under any chunking, frames of other attempts and repeats are dropped and a gap is a fault', () => {
  fc.assert(
    fc.property(
      fc.array(frame, { maxLength: 30 }),
      fc.nat(3),
      fc.array(fc.nat(4_000), { maxLength: 60 }),
      (frames, start, positions) => {
        const bytes = Buffer.from(frames.map(encode).join(''));
        const { reader, tokens } = read(splitAt(bytes, positions), start);
        const expected = oracle(frames, start);
        assert.deepEqual(tokens, expected.tokens);
        assert.equal(reader.nextOffset, start + expected.tokens.length);
        assert.equal(reader.fault, expected.gap ? 'offset-gap' : null);
        assert.equal(reader.done, false);
      },
    ),
    { seed: 5, numRuns: 2_000 },
  );
});

test('a complete stream is read from chunks of one byte', () => {
  const text = `: hello\n\nid: ${OWN}:0\ndata: a\n\nid: ${OWN}:1\ndata: b\n\nid: ${OWN}:2\ndata: usage\n\ndata: [DONE]\n\nrest`;
  const bytes = Buffer.from(text);
  const { tokens, reader, done } = read([...bytes].map((byte) => Buffer.from([byte])));
  assert.deepEqual(tokens, ['a', 'b']);
  assert.equal(reader.fault, null);
  assert.ok(done);
});

test('arbitrary bytes yield only tokens of this attempt or a fault', () => {
  const piece = fc.oneof(
    fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
    fc
      .constantFrom(
        `id: ${OWN}:0\ndata: a\n\n`,
        'id: ',
        '\n\n',
        'data: [DONE]\n\n',
        `id: ${OWN}:`,
        'data: ',
      )
      .map((text) => Buffer.from(text)),
  );
  fc.assert(
    fc.property(fc.array(piece, { maxLength: 40 }), (pieces) => {
      const { tokens, reader } = read(pieces);
      assert.equal(reader.nextOffset, tokens.length);
      assert.ok(tokens.length <= 1, 'only offset 0 is ever sent');
    }),
    { seed: 6, numRuns: 2_000 },
  );
});

for (const [name, text, fault] of [
  ['a frame without data', `id: ${OWN}:0\nevent: x\n\n`, 'malformed-frame'],
  ['a frame with an id only', `id: ${OWN}:0\n\n`, 'malformed-frame'],
  ['an offset that is not a number', `id: ${OWN}:x\ndata: a\n\n`, 'malformed-frame'],
  ['an offset with too many digits', `id: ${OWN}:99999999999\ndata: a\n\n`, 'malformed-frame'],
  ['data on two lines', `id: ${OWN}:0\ndata: a\ndata: b\n\n`, 'malformed-frame'],
  ['data that the sink reports as malformed', `id: ${OWN}:0\ndata: bad\n\n`, 'malformed-frame'],
  ['data without an id', 'data: a\n\n', 'malformed-frame'],
  [
    'a complete frame over the size limit',
    `id: ${OWN}:0\ndata: ${'a'.repeat(200)}\n\n`,
    'frame-too-large',
  ],
  [
    'an incomplete frame over the size limit',
    `id: ${OWN}:0\ndata: ${'a'.repeat(300)}`,
    'frame-too-large',
  ],
] as const) {
  test(`${name} is a fault`, () => {
    const { reader, tokens } = read([Buffer.from(text)]);
    assert.equal(reader.fault, fault);
    assert.deepEqual(tokens, []);
  });
}

// Guards against an event loop that one engine occupies, as what is left of an event is joined and searched again with each chunk.
test('an event in chunks of one byte is not joined anew with each chunk', (t) => {
  const joined = measureJoinedBytes(t);
  const text = 'x'.repeat(60_000);
  const texts: string[] = [];
  const reader = new FrameReader('a', 0, MAX_LARGE_FRAME_BYTES, {
    frame: (bytes, start, end) => {
      texts.push(bytes.toString('latin1', start, end));
      return 'token';
    },
    done: () => undefined,
  });
  const frame = Buffer.from(`id: a:0\ndata: ${text}\n\n`);
  for (const chunk of inSingleBytes(frame)) reader.push(chunk);
  assert.deepEqual(texts, [text]);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
  assert.ok(joined.copiedBytes <= 4 * frame.length, `${joined.copiedBytes} bytes copied`);
  assert.ok(joined.searchedBytes <= 8 * frame.length, `${joined.searchedBytes} bytes searched`);
});
