/** Crowds of callers that do not behave, and what must hold of the process that they meet. */
import assert from 'node:assert/strict';
import { pause } from '../../../soak/pause.js';
import {
  answer,
  type ProcessLimits,
  type RealGateway,
  type SentRequest,
  type TestRequest,
} from './real-gateway.js';

const BYTES_PER_MEGABYTE = 1_048_576;
/** The system keeps these for files. */
const FILE_DESCRIPTORS = 200;
const DEFAULT_DESCRIPTORS = 4_100;
const CONNECTIONS_PER_BURST = 25;
const BURST_INTERVAL_MS = 10;
const TAKEN_WAIT_MS = 500;
const WAIT_MS = 30_000;
const POLL_MS = 50;
const OUTPUT_CHARACTERS = 2_000;

/** Opens connections one burst after the other, each of which sends bytes. */
export async function openCrowd(
  to: RealGateway,
  count: number,
  bytesOf: (index: number) => Buffer,
  onOpen: (one: SentRequest) => void = () => {},
): Promise<readonly SentRequest[]> {
  const sent: SentRequest[] = [];
  while (sent.length < count && to.end === undefined) {
    const end = Math.min(count, sent.length + CONNECTIONS_PER_BURST);
    while (sent.length < end) {
      const one = to.sendBytes(bytesOf(sent.length));
      onOpen(one);
      sent.push(one);
    }
    await pause(BURST_INTERVAL_MS);
  }
  return sent;
}

/**
 * Opens one connection after the other, each of which sends a large part of a body, until the process rejects one or there
 * are as many as given: of many at once it would reject most and hold few.
 */
export async function holdBodies(
  to: RealGateway,
  most: number,
  request: () => Buffer,
): Promise<void> {
  const sent: SentRequest[] = [];
  const isRejected = () => sent.some(({ status }) => status !== undefined);
  while (sent.length < most && to.end === undefined && !isRejected()) {
    const one = to.sendBytes(request());
    sent.push(one);
    const untilMs = performance.now() + TAKEN_WAIT_MS;
    const isOver = () => isRejected() || performance.now() > untilMs;
    await to.waitUntil(() => one.isTaken || isOver(), WAIT_MS);
    // The process reads what the system has taken.
    await pause(POLL_MS);
  }
}

/** Opens the connections of a crowd that reads no answer. */
export function openUnread(
  to: RealGateway,
  count: number,
  bytesOf: (index: number) => Buffer,
): Promise<readonly SentRequest[]> {
  return openCrowd(to, count, bytesOf, (one) => one.socket.pause());
}

/** The process runs, and has never taken more than its machine has. */
export function assertWithinLimits(to: RealGateway, limits: ProcessLimits): void {
  const { memoryMb = Number.NaN, descriptors = DEFAULT_DESCRIPTORS } = limits;
  assert.equal(to.end, undefined, to.output.slice(-OUTPUT_CHARACTERS));
  const residentBytes = to.peakResidentBytes ?? Number.NaN;
  const openSockets = to.openSockets ?? Number.NaN;
  assert.ok(residentBytes < memoryMb * BYTES_PER_MEGABYTE, `${residentBytes} bytes resident`);
  assert.ok(openSockets <= descriptors - FILE_DESCRIPTORS, `${openSockets} open sockets`);
}

/** An ordinary caller, which comes back as it is told to, gets an answer. */
export async function assertServes(to: RealGateway, request: TestRequest = {}): Promise<void> {
  to.serve = answer;
  const untilMs = performance.now() + WAIT_MS;
  let sent = to.send(request);
  while (to.end === undefined && sent.status !== 200 && performance.now() < untilMs) {
    await pause(POLL_MS);
    if (sent.status === 503 && sent.retryAfterMs !== undefined) await pause(sent.retryAfterMs);
    const isOver = sent.status !== undefined || sent.socket.destroyed;
    if (isOver && sent.status !== 200) sent = to.send(request);
  }
  assert.equal(to.end, undefined, to.output.slice(-OUTPUT_CHARACTERS));
  assert.equal(sent.status, 200, to.output.slice(-OUTPUT_CHARACTERS));
}

/** Once a crowd has left, the process has kept to its limits and serves an ordinary caller. */
export async function assertOutlives(to: RealGateway, limits: ProcessLimits): Promise<void> {
  await to.settle();
  assertWithinLimits(to, limits);
  to.leave();
  await assertServes(to);
  assertWithinLimits(to, limits);
}
