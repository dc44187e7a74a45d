/** Whether a stream has written an event, and whether it ends inside one, however its bytes are cut into chunks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventBoundary } from '../../src/shell/gateway/event-boundary.js';

/** Pushes a text in chunks of `size` bytes. */
function boundaryAfter(text: string, size: number): EventBoundary {
  const boundary = new EventBoundary();
  const bytes = Buffer.from(text);
  for (let first = 0; first < bytes.length; first += size) {
    boundary.push(bytes.subarray(first, first + size));
  }
  return boundary;
}

for (const [text, hasCompleteEvent, isInsideEvent] of [
  ['', false, false],
  ['id: 1\ndata: pi', false, true],
  ['id: 1\ndata: piece\n', false, true],
  ['id: 1\ndata: piece\n\n', true, false],
  ['id: 1\r\ndata: piece\r\n\r\n', true, false],
  ['id: 1\r\ndata: piece\r\n\r', false, true],
  ['id: 1\ndata: piece\n\nid: 2\nda', true, true],
  ['id: 1\n\n\n', true, false],
] as const) {
  test(`${JSON.stringify(text)} has ${hasCompleteEvent ? 'an' : 'no'} event and ends ${isInsideEvent ? 'inside' : 'outside'} one, in chunks of any size`, () => {
    for (let size = 1; size <= text.length + 1; size += 1) {
      const boundary = boundaryAfter(text, size);
      assert.equal(boundary.hasCompleteEvent, hasCompleteEvent, `chunks of ${size}`);
      assert.equal(boundary.isInsideEvent, isInsideEvent, `chunks of ${size}`);
    }
  });
}
