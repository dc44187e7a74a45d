/** The limits of caller HTTP. All are settings; docs/CALLER-API.md says what each one protects. */
import type { Milliseconds } from '../../core/common/time.js';

/** Limits of the callers' HTTP server and of its connections to backends. */
export interface HttpLimits {
  /** Open caller connections; also bounded by V8's heap limit. Connections beyond it are closed at once. */
  readonly maxConnections: number;
  /** Requests of one connection whose answers are open; from there on no more is read from it. */
  readonly maxPipelinedRequests: number;
  /** Bytes of the request line and headers; larger ones are answered with 431. */
  readonly maxHeaderBytes: number;
  /** Time from the first byte of a connection or request to the end of its headers; then 408. */
  readonly headersTimeoutMs: Milliseconds;
  /** Time from the first byte of a request to the end of its body; then 408. */
  readonly requestTimeoutMs: Milliseconds;
  /** Time between two pieces of a request's body; then 408. */
  readonly bodyStallTimeoutMs: Milliseconds;
  /** How long an idle caller connection is kept. */
  readonly keepAliveTimeoutMs: Milliseconds;
  /** Bytes of one request's body; a larger one is answered with 413. */
  readonly maxBodyBytes: number;
  /** Memory of all request bodies held at once; a body that would exceed it is answered with 503. */
  readonly maxBufferedBytes: number;
  /** Estimated heap of all requests until their answers end; also bounded by V8's heap limit. Beyond it: 503. */
  readonly maxRequestHeapBytes: number;
  /** The largest `max_tokens` that a caller may request. */
  readonly maxOutputTokens: number;
  /** How long a caller may leave written bytes unread before its connection is closed. */
  readonly callerStallTimeoutMs: Milliseconds;
  /** How long a planned stop still accepts connections while it announces the stop to callers. */
  readonly stopIdleGraceMs: Milliseconds;
  /** Timeout for opening a connection to a backend. */
  readonly connectTimeoutMs: Milliseconds;
  /** Time from sending a request to the backend's response headers. */
  readonly backendHeadersTimeoutMs: Milliseconds;
  /** Time between two chunks of a backend's answer. */
  readonly backendStallTimeoutMs: Milliseconds;
  /** How long an idle backend connection is kept. Must be below the backends' own idle timeout. */
  readonly backendKeepAliveMs: Milliseconds;
  /** Open connections to one backend. */
  readonly maxConnectionsPerBackend: number;
  /** Bytes of one server-sent event from an engine. */
  readonly maxFrameBytes: number;
  /** Unstreamed answers up to this size are held until they are complete, then forwarded. */
  readonly maxHeldAnswerBytes: number;
  /** Answers up to this size are stored, to be replayed for their idempotency key. */
  readonly maxReplayBytes: number;
}

const KIB = 1024;
const MIB = 1024 * KIB;

/** The defaults of the settings. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxConnections: 10_000,
  maxPipelinedRequests: 64,
  maxHeaderBytes: 16 * KIB,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  bodyStallTimeoutMs: 30_000,
  keepAliveTimeoutMs: 15_000,
  maxBodyBytes: 8 * MIB,
  maxBufferedBytes: 256 * MIB,
  maxRequestHeapBytes: 256 * MIB,
  maxOutputTokens: 131_072,
  callerStallTimeoutMs: 30_000,
  stopIdleGraceMs: 1_000,
  connectTimeoutMs: 2_000,
  backendHeadersTimeoutMs: 600_000,
  backendStallTimeoutMs: 30_000,
  backendKeepAliveMs: 4_000,
  maxConnectionsPerBackend: 1_024,
  maxFrameBytes: 64 * KIB,
  maxHeldAnswerBytes: 64 * KIB,
  maxReplayBytes: 64 * KIB,
};
