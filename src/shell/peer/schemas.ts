/**
 * The schemas of the messages. The order of the keys is the order on the wire, so keys must not be
 * moved, and any change of a schema requires a new protocol version.
 */
import { z } from 'zod';
import type { PeerHeader, PeerMessage } from '../../core/peer/index.js';

const MAX_TEXT_LENGTH = 200;
const MAX_PORT = 65_535;
const MAX_UPDATES = 64;
const MAX_TABLE_MEMBERS = 10_000;
const MAX_ZONES = 256;
const MAX_ENGINES = 10_000;
const MAX_MODELS = 256;
const MAX_ADAPTERS = 4_096;

const text = z.string().max(MAX_TEXT_LENGTH);
const nonNegativeInt = z.int().min(0);
const finiteNumber = z.number();

/** IP addresses only, so that a peer's message never causes a DNS look-up. */
const endpoint = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(MAX_PORT),
});

const update = z.strictObject({
  name: text,
  zone: text,
  endpoint,
  incarnation: nonNegativeInt,
  refutation: nonNegativeInt,
  status: z.enum(['alive', 'suspect', 'dead', 'left']),
  suspectedBy: text.nullable(),
});

const updates = z.array(update).max(MAX_UPDATES);
const heartbeats = z
  .array(z.strictObject({ zone: text, heartbeat: nonNegativeInt }))
  .max(MAX_ZONES);
const summary = z.strictObject({ zone: text, hash: nonNegativeInt, heartbeat: nonNegativeInt });
const fence = z.strictObject({ epoch: nonNegativeInt, sequence: nonNegativeInt });

const loadedModel = z.strictObject({
  model: text,
  version: text,
  adapters: z.array(z.strictObject({ adapter: text, version: text })).max(MAX_ADAPTERS),
});

const load = z.strictObject({
  ageMs: finiteNumber,
  running: finiteNumber,
  queued: finiteNumber,
  queuedPrefillTokens: finiteNumber,
  kvUsed: finiteNumber,
  prefillTokensPerSecond: finiteNumber,
  decodeStepMs: finiteNumber,
});

const inventory = z.strictObject({
  boot: text,
  role: z.enum(['prefill', 'decode', 'mixed']),
  models: z.array(loadedModel).max(MAX_MODELS),
  fence: fence.nullable(),
  lastOrder: z.strictObject({ id: text, state: z.enum(['running', 'done', 'failed']) }).nullable(),
  maxBatch: finiteNumber,
});

const engineDigest = z.strictObject({
  engine: text,
  intake: z.enum(['open', 'closed']),
  busy: z.boolean(),
  leaving: z.boolean(),
  activeRequests: finiteNumber,
  load,
  revision: nonNegativeInt,
  inventory: inventory.nullable(),
  ageMs: finiteNumber.min(0),
});

const engineInterest = z.strictObject({ engine: text, revision: nonNegativeInt.nullable() });

/** The header of every message. */
export const headerSchema = z.strictObject({
  sender: text.min(1),
  incarnation: nonNegativeInt,
  sentAt: finiteNumber,
  inForce: nonNegativeInt.nullable(),
  highestVersion: nonNegativeInt,
}) satisfies z.ZodType<PeerHeader>;

const messages = {
  ping: z.strictObject({
    kind: z.literal('ping'),
    sequence: nonNegativeInt,
    target: text,
    updates,
    heartbeats,
  }),
  ack: z.strictObject({ kind: z.literal('ack'), sequence: nonNegativeInt, updates, heartbeats }),
  'ping-request': z.strictObject({
    kind: z.literal('ping-request'),
    sequence: nonNegativeInt,
    target: text,
    endpoint,
    updates,
  }),
  'table-summary': z.strictObject({
    kind: z.literal('table-summary'),
    replyTo: endpoint,
    zones: z.array(summary).max(MAX_ZONES),
  }),
  table: z.strictObject({
    kind: z.literal('table'),
    replyTo: endpoint,
    zones: z.array(text).max(MAX_ZONES),
    members: z.array(update).max(MAX_TABLE_MEMBERS),
    answerWanted: z.boolean(),
  }),
  'engine-interest': z.strictObject({
    kind: z.literal('engine-interest'),
    engines: z.array(engineInterest).max(MAX_ENGINES),
  }),
  'engine-digest': z.strictObject({
    kind: z.literal('engine-digest'),
    echo: z.strictObject({
      incarnation: nonNegativeInt,
      sentAt: finiteNumber,
      ageMs: finiteNumber.min(0),
    }),
    engines: z.array(engineDigest).max(MAX_ENGINES),
  }),
  'configuration-announce': z.strictObject({
    kind: z.literal('configuration-announce'),
    version: nonNegativeInt,
    origin: endpoint.nullable(),
  }),
  'configuration-pull': z.strictObject({
    kind: z.literal('configuration-pull'),
    above: z.int().min(-1),
    replyTo: endpoint,
  }),
  'configuration-content': z.strictObject({
    kind: z.literal('configuration-content'),
    version: nonNegativeInt,
    hash: text,
    // The core validates the document, as it does with a document from the store.
    document: z.custom<Extract<PeerMessage, { kind: 'configuration-content' }>['document']>(
      (value) => typeof value === 'object' && value !== null,
    ),
  }),
  'configuration-busy': z.strictObject({
    kind: z.literal('configuration-busy'),
    version: nonNegativeInt,
  }),
  'configuration-confirm': z.strictObject({
    kind: z.literal('configuration-confirm'),
    version: nonNegativeInt,
  }),
  demand: z.strictObject({
    kind: z.literal('demand'),
    pool: text,
    requests: nonNegativeInt,
    promptTokens: nonNegativeInt,
    outputTokens: nonNegativeInt,
  }),
} as const satisfies { readonly [Kind in PeerMessage['kind']]: z.ZodType<MessageOf<Kind>> };

type MessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, { kind: Kind }>;

/** The schema of each kind of message. */
export const messageSchemas: { readonly [Kind in PeerMessage['kind']]: z.ZodType<PeerMessage> } =
  messages;
