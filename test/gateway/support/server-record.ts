/** A listed decode engine, for tests that need any one server. */
import type { ServerRecord } from '../../../src/core/gateway/index.js';

export const SERVER: ServerRecord = {
  id: 'reader-1',
  service: 'reader',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 8,
  state: 'ready',
  isSpot: false,
  stage: 'decode',
  bornMs: 1,
  softwareVersion: 'v1',
};
