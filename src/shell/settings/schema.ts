/**
 * The schema of a daemon's settings file. Every key's description becomes a row of the table in
 * docs/OPERATING.md; the message of every check is the remedy reported for an invalid value.
 */
import { z } from 'zod';
import { ADMISSION_DEFAULTS, type AdmissionLimits } from '../../core/admission/index.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from '../http/limits.js';
import { isUnspecified, parseEndpoint } from './endpoint.js';

const ENDPOINT_REMEDY =
  'write an IP number and a port, such as 127.0.0.1:8080 or "[::1]:8080"; host names are not looked up';
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_COUNT = 1_000_000;
const MAX_BODY_BYTES = 1_073_741_824;
const MAX_BUFFERED_BYTES = 68_719_476_736;
const MAX_HEADER_BYTES = 1_048_576;
/** Recorded outcomes are stored in the table service, whose transactions are limited to 256 KiB. */
const MAX_REPLAY_BYTES = 131_072;

function endpointSchema(): z.ZodType<Endpoint, string> {
  return z.string(ENDPOINT_REMEDY).transform((text, context) => {
    const parsed = parseEndpoint(text);
    if (parsed.isOk()) return parsed.value;
    context.addIssue({ code: 'custom', message: ENDPOINT_REMEDY });
    return z.NEVER;
  });
}

/** An address that this daemon connects to; port 0 and unspecified addresses are refused. */
function remoteEndpointSchema(): z.ZodType<Endpoint, string> {
  return endpointSchema().refine(
    (value) => value.port > 0 && !isUnspecified(value.address),
    'write the IP number and port that the other side listens on',
  );
}

function peerListenEndpointSchema(): z.ZodType<Endpoint, string> {
  return endpointSchema().refine(
    (value) => !isUnspecified(value.address),
    "write the one IP number that peers reach this machine by; this key can't stand for all addresses",
  );
}

function countSchema(defaultValue: number, maximum = MAX_COUNT): z.ZodDefault<z.ZodInt> {
  const remedy = `write a whole number from 1 to ${maximum}`;
  return z.int(remedy).min(1, remedy).max(maximum, remedy).default(defaultValue);
}

function millisecondsSchema(defaultValue: number): z.ZodDefault<z.ZodInt> {
  const remedy = `write milliseconds as a whole number from 1 to ${MAX_TIMEOUT_MS}`;
  return z.int(remedy).min(1, remedy).max(MAX_TIMEOUT_MS, remedy).default(defaultValue);
}

function nameSchema(subject: string): z.ZodString {
  const remedy = `write the ${subject}: lower-case letters, digits, dots, hyphens; 63 at most`;
  return z.string(remedy).regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, remedy);
}

const httpLimitsSchema = z.strictObject({
  maxConnections: countSchema(DEFAULT_HTTP_LIMITS.maxConnections).describe(
    "open caller connections, never more than V8's heap limit has room for; further ones are closed at once",
  ),
  maxPipelinedRequests: countSchema(DEFAULT_HTTP_LIMITS.maxPipelinedRequests).describe(
    'requests of one connection whose answers are open; from there on no more is read from it',
  ),
  maxHeaderBytes: countSchema(DEFAULT_HTTP_LIMITS.maxHeaderBytes, MAX_HEADER_BYTES).describe(
    "bytes of a request's line and headers; more is answered 431",
  ),
  headersTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.headersTimeoutMs).describe(
    'longest time for a whole request head to come; then 408',
  ),
  requestTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.requestTimeoutMs).describe(
    'longest time for a whole request to come; then 408',
  ),
  bodyStallTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.bodyStallTimeoutMs).describe(
    "longest time between two pieces of a request's body; then 408",
  ),
  keepAliveTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.keepAliveTimeoutMs).describe(
    'how long an idle caller connection is kept',
  ),
  maxBodyBytes: countSchema(DEFAULT_HTTP_LIMITS.maxBodyBytes, MAX_BODY_BYTES).describe(
    "bytes of one request's body; more is answered 413",
  ),
  maxBufferedBytes: countSchema(DEFAULT_HTTP_LIMITS.maxBufferedBytes, MAX_BUFFERED_BYTES).describe(
    'memory of all request bodies held at once, in bytes; beyond it new ones are answered 503',
  ),
  maxRequestHeapBytes: countSchema(
    DEFAULT_HTTP_LIMITS.maxRequestHeapBytes,
    MAX_BUFFERED_BYTES,
  ).describe(
    "estimated heap of all requests until their answers end, in bytes; never over half of what V8's heap limit leaves; beyond it new ones are answered 503",
  ),
  maxOutputTokens: countSchema(DEFAULT_HTTP_LIMITS.maxOutputTokens).describe(
    'the largest `max_tokens` that a caller may ask for',
  ),
  callerStallTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.callerStallTimeoutMs).describe(
    'how long a caller may leave its answer unread before its connection is ended',
  ),
  stopIdleGraceMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.stopIdleGraceMs).describe(
    'how long a planned stop still takes callers that have not seen it yet, and tells them',
  ),
  connectTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.connectTimeoutMs).describe(
    'longest time to open a connection to a backend',
  ),
  backendHeadersTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.backendHeadersTimeoutMs).describe(
    "longest time from a request's being sent to the head of the backend's answer",
  ),
  backendStallTimeoutMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.backendStallTimeoutMs).describe(
    "longest time between two pieces of a backend's answer",
  ),
  backendKeepAliveMs: millisecondsSchema(DEFAULT_HTTP_LIMITS.backendKeepAliveMs).describe(
    "how long an idle backend connection is kept; below the backends' own limit",
  ),
  maxConnectionsPerBackend: countSchema(DEFAULT_HTTP_LIMITS.maxConnectionsPerBackend).describe(
    'connections to one backend',
  ),
  maxFrameBytes: countSchema(DEFAULT_HTTP_LIMITS.maxFrameBytes, MAX_BODY_BYTES).describe(
    'bytes of one server-sent event from an engine',
  ),
  maxHeldAnswerBytes: countSchema(DEFAULT_HTTP_LIMITS.maxHeldAnswerBytes, MAX_BODY_BYTES).describe(
    'whole answers up to this size are forwarded only once they are complete',
  ),
  maxReplayBytes: countSchema(DEFAULT_HTTP_LIMITS.maxReplayBytes, MAX_REPLAY_BYTES).describe(
    'answers up to this size are kept for the replay of an idempotency key',
  ),
} satisfies Record<keyof HttpLimits, z.ZodType<number>>);

const queueLimitsSchema = z.strictObject({
  maxWaitingPerClass: countSchema(ADMISSION_DEFAULTS.maxWaitingPerClass).describe(
    'requests that may wait in one class for one model or service; more are refused',
  ),
} satisfies Record<keyof AdmissionLimits, z.ZodType<number>>);

const tokenSchema = z.strictObject({
  name: nameSchema('token owner').describe('who holds the token; shown in logs and in changes'),
  digest: z
    .string('write the SHA-256 digest of the token')
    .regex(
      /^[0-9a-f]{64}$/,
      "write the token's SHA-256 digest, 64 lower-case hexadecimal digits (printf %s TOKEN | sha256sum)",
    )
    .describe('SHA-256 of the token, in hexadecimal'),
  access: z
    .enum(['read-only', 'change'], 'write read-only or change')
    .describe('`read-only`: queries; `change`: commands too'),
});

const FLEET_KEY_REMEDY =
  'write exactly one of file: PATH, env: VARIABLE or value: KEY under fleetKey';
/** Minimum number of characters; shorter fleet keys are refused as guessable. */
export const MIN_FLEET_KEY_LENGTH = 16;

const fleetKeySchema = z
  .strictObject(
    {
      file: z.string('write a path').min(1, 'write a path').optional().describe('read from a file'),
      env: z
        .string('write the name of an environment variable')
        .min(1, 'write the name of an environment variable')
        .optional()
        .describe('read from an environment variable'),
      value: z.string('write the key as text').optional().describe('the key itself'),
    },
    FLEET_KEY_REMEDY,
  )
  .refine(
    (source) => Object.values(source).filter((given) => given !== undefined).length === 1,
    FLEET_KEY_REMEDY,
  );

/** The schema of the complete settings file. */
export const settingsSchema = z.strictObject(
  {
    name: nameSchema('name of this daemon, unique in the fleet').describe(
      'this daemon, unique in the fleet and the same after a restart',
    ),
    zone: nameSchema('zone that this machine is in').describe(
      'the failure domain that this machine is in',
    ),
    listen: z.strictObject(
      {
        callers: endpointSchema().describe('where callers connect; port 0 takes a free one'),
        operators: endpointSchema().describe('where operators connect'),
        peers: peerListenEndpointSchema().describe('where other daemons connect'),
      },
      'write callers, operators and peers under listen, each IP:PORT',
    ),
    platform: remoteEndpointSchema().describe(
      'the platform: table service, object store, weight store and machine list',
    ),
    fleetKey: fleetKeySchema.describe('the secret that daemons know each other by'),
    operatorTokens: z
      .array(tokenSchema, 'write a list of name, digest and access')
      .default([])
      .describe('who may use the operator address'),
    allowUnauthenticatedOperators: z
      .boolean('write true or false')
      .default(false)
      .describe('take commands without a token on an address other than loopback'),
    seeds: z
      .array(remoteEndpointSchema(), 'write a list of IP:PORT')
      .default([])
      .describe('peer addresses to try before the machine list is known'),
    limits: z
      .strictObject({
        http: httpLimitsSchema.prefault({}),
        queue: queueLimitsSchema.prefault({}),
      })
      .prefault({}),
    stopGraceMs: millisecondsSchema(120_000).describe(
      'how long a planned stop waits for running requests before it cuts them',
    ),
    logLevel: z
      .enum(['debug', 'info', 'warn', 'error'], 'write debug, info, warn or error')
      .default('info')
      .describe('the least severe log lines that are written'),
  },
  'write a mapping of settings; see examples/daemon-scanhuis.yaml',
);

/** Validated settings, before the fleet key is read from its source. */
export type CheckedSettings = z.infer<typeof settingsSchema>;

/** The source of the fleet key; exactly one key is present. */
export type FleetKeySource = CheckedSettings['fleetKey'];

/** A token that an operator may present. */
export type OperatorToken = z.infer<typeof tokenSchema>;

/** The settings of a running daemon: every key present, with the fleet key instead of its source. */
export type DaemonSettings = Omit<CheckedSettings, 'fleetKey'> & { readonly fleetKey: string };
