/** Guards against requests that together take more memory than the process has. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type HeaderSize,
  MemoryLedger,
  requestMemoryLimits,
} from '../../src/core/gateway/index.js';

const MEGABYTE = 1_048_576;

function ledger(heapMb: number, bufferMb: number): MemoryLedger {
  return new MemoryLedger({ heapBytes: heapMb * MEGABYTE, bufferBytes: bufferMb * MEGABYTE });
}

/** The headers of a request, ten of them unless told otherwise. */
function headers(bytes: number, count = 10): HeaderSize {
  return { bytes, count };
}

/** How many requests of a kind fit. */
function countFitting(memory: MemoryLedger, headerBytes: number, bodyBytes: number): number {
  let count = 0;
  while (memory.reserve(headers(headerBytes))?.grow(bodyBytes) === true) count += 1;
  return count;
}

test('bodies are admitted up to the memory for buffers', () => {
  assert.equal(countFitting(ledger(100, 10), 500, MEGABYTE), 10);
});

test('requests with long headers are admitted up to the heap for requests', () => {
  const few = countFitting(ledger(10, 10), 16_000, 0);
  const many = countFitting(ledger(10, 10), 500, 0);
  assert.ok(few > 100 && few < 200, `${few}`);
  assert.ok(many > 350 && many < 450, `${many}`);
});

test('a request that ends makes room for the next one, once', () => {
  const memory = ledger(100, 1);
  const first = memory.reserve(headers(500));
  assert.equal(first?.grow(MEGABYTE), true);
  const second = memory.reserve(headers(500));
  assert.equal(second?.grow(1), false);
  second?.release();
  first?.release();
  first?.release();
  assert.deepEqual(memory.reserved, { heapBytes: 0, bufferBytes: 0 });
  assert.equal(countFitting(memory, 500, MEGABYTE), 1);
});

test('a request that is rejected reserves nothing', () => {
  const memory = ledger(8, 1);
  assert.equal(memory.reserve(headers(8 * MEGABYTE)), undefined);
  assert.deepEqual(memory.reserved, { heapBytes: 0, bufferBytes: 0 });
});

test('a body for which there is no memory adds nothing', () => {
  const memory = ledger(100, 1);
  assert.equal(memory.reserve(headers(500))?.grow(2 * MEGABYTE), false);
  assert.equal(memory.reserved.bufferBytes, 0);
});

test('what a request holds grows and shrinks within the memory for buffers', () => {
  const memory = ledger(100, 3);
  const request = memory.reserve(headers(500));
  assert.equal(request?.grow(2 * MEGABYTE), true);
  assert.equal(request?.grow(2 * MEGABYTE), false);
  request?.shrink(MEGABYTE);
  assert.equal(memory.reserved.bufferBytes, MEGABYTE);
  request?.shrink(5 * MEGABYTE);
  assert.equal(memory.reserved.bufferBytes, 0);
});

test('a request that has ended holds nothing more', () => {
  const memory = ledger(100, 3);
  const request = memory.reserve(headers(500));
  request?.release();
  assert.equal(request?.grow(1), false);
  assert.equal(memory.reserved.bufferBytes, 0);
});

test('heap limit, other memory and requests stay within the machine, where that is not very small', () => {
  const heapLimitBytes = 102 * MEGABYTE;
  for (const machineMb of [250, 350, 602]) {
    const machineBytes = machineMb * MEGABYTE;
    const { heapBytes, bufferBytes } = requestMemoryLimits(heapLimitBytes, machineBytes);
    assert.ok(heapBytes < heapLimitBytes);
    assert.ok(heapLimitBytes + bufferBytes < machineBytes - 100 * MEGABYTE, `${machineMb}`);
  }
});

test('some requests are admitted however small the limits are', () => {
  const { heapBytes, bufferBytes } = requestMemoryLimits(10 * MEGABYTE, 20 * MEGABYTE);
  assert.ok(heapBytes > 0 && bufferBytes > 0);
});

test('many short headers count as objects, not only as bytes', () => {
  const bytes = 12_000;
  const heapOf = (count: number) => {
    const memory = ledger(100, 10);
    memory.reserve(headers(bytes, count));
    return memory.reserved.heapBytes;
  };
  const perHeaderBytes = (heapOf(2_000) - heapOf(1)) / 1_999;
  assert.ok(perHeaderBytes >= 150, `${perHeaderBytes} bytes for each header`);
});

test('requests that callers pipeline leave most of the memory to others', () => {
  const memory = ledger(10, 10);
  let pipelined = 0;
  while (memory.reserve(headers(500), true) !== undefined) pipelined += 1;
  const others = countFitting(memory, 500, 0);
  assert.ok(pipelined > 0 && others > 2 * pipelined, `${pipelined} and ${others}`);
});

test('pipelined requests that end make room for the next ones', () => {
  const memory = ledger(10, 10);
  const first = memory.reserve(headers(500), true);
  while (memory.reserve(headers(500), true) !== undefined);
  first?.release();
  assert.ok(memory.reserve(headers(500), true) !== undefined);
});
