/** Guards against messages in tiny chunks, each of which was kept as an object of its own. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ByteCollector, HeldBytes } from '../../src/shell/bytes/index.js';

const MEBIBYTE = 1_048_576;

test('a message in chunks of one byte is held in few objects and little more than its bytes', () => {
  const collector = new ByteCollector();
  const bytes = Buffer.alloc(MEBIBYTE, 'x');
  for (let start = 0; start < bytes.length; start += 1) {
    collector.add(bytes.subarray(start, start + 1));
  }
  assert.ok(collector.blockCount <= 32, `${collector.blockCount} blocks`);
  assert.ok(collector.heldBytes <= MEBIBYTE + 65_536, `${collector.heldBytes} bytes`);
  assert.ok(collector.join().equals(bytes));
});

test('the objects of a message are bounded by its bytes, whatever the sizes of its chunks', () => {
  const collector = new ByteCollector();
  for (let pair = 0; pair < 64; pair += 1) {
    collector.add(Buffer.alloc(32_768, 'a'));
    collector.add(Buffer.alloc(1, 'b'));
  }
  assert.ok(collector.blockCount <= 128, `${collector.blockCount} blocks`);
  assert.equal(collector.length, 64 * 32_769);
  assert.ok(collector.heldBytes <= 2 * collector.length, `${collector.heldBytes} bytes`);
});

test('a message is joined as it came, under any chunking', () => {
  const sizes = fc.array(fc.oneof(fc.nat(40), fc.integer({ min: 32_700, max: 33_000 })), {
    maxLength: 60,
  });
  fc.assert(
    fc.property(sizes, (chunkSizes) => {
      const chunks = chunkSizes.map((size, index) => Buffer.alloc(size, index % 251));
      const collector = new ByteCollector();
      for (const chunk of chunks) collector.add(chunk);
      const whole = Buffer.concat(chunks);
      assert.ok(collector.join().equals(whole));
      assert.equal(collector.length, whole.length);
      assert.ok(collector.heldBytes >= whole.length);
    }),
  );
});

test('what collectors hold is counted until they are cleared', () => {
  const held = new HeldBytes();
  const collectors = [new ByteCollector(held), new ByteCollector(held)];
  for (const collector of collectors) {
    for (let byte = 0; byte < 2_000; byte += 1) collector.add(Buffer.from('x'));
  }
  assert.ok(held.bytes >= 4_000 && held.bytes <= 8_000, `${held.bytes} bytes`);
  assert.ok(held.objects >= 2 && held.objects <= 12, `${held.objects} objects`);
  for (const collector of collectors) collector.clear();
  assert.deepEqual([held.bytes, held.objects], [0, 0]);
});

test('a cleared collector holds nothing and collects the next message', () => {
  const collector = new ByteCollector();
  collector.add(Buffer.from('first'));
  collector.add(Buffer.alloc(10_000));
  collector.clear();
  assert.deepEqual([collector.length, collector.heldBytes, collector.blockCount], [0, 0, 0]);
  collector.add(Buffer.from('second'));
  assert.equal(collector.join().toString(), 'second');
});
