/** Encodes and decodes messages as MessagePack arrays of `[version, header, kind, fields]`. */
import { FLOAT32_OPTIONS, Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { PeerHeader, PeerMessage } from '../../core/peer/index.js';
import { type Positional, positional } from './positional.js';
import { headerSchema, messageSchemas } from './schemas.js';

/** Incremented when the wire form changes. Messages of any other version are rejected. */
const PROTOCOL_VERSION = 1;

/** A decoded message with its header. */
export interface Envelope {
  readonly header: PeerHeader;
  readonly message: PeerMessage;
}

// Encodes a number of at most seven digits in four bytes; it decodes to the same number.
const packr = new Packr({
  useRecords: false,
  encodeUndefinedAsNil: true,
  useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT,
});
const headerForm = positional(headerSchema);
const messageForms = new Map<string, Positional>(
  Object.entries(messageSchemas).map(([kind, schema]) => [kind, positional(schema)]),
);
/** The index of a kind in this list is its number on the wire. */
const kinds: readonly PeerMessage['kind'][] = [
  'ping',
  'ack',
  'ping-request',
  'table-summary',
  'table',
  'engine-interest',
  'engine-digest',
  'configuration-announce',
  'configuration-pull',
  'configuration-content',
  'configuration-busy',
  'configuration-confirm',
  'demand',
];

const wireSchema = z.tuple([z.literal(PROTOCOL_VERSION), z.unknown(), z.int(), z.unknown()]);

/** Encodes a message. */
export function encodeEnvelope({ header, message }: Envelope): Buffer {
  const kind = kinds.indexOf(message.kind);
  const fields = messageForms.get(message.kind)?.pack(message);
  const wireHeader = { ...header, sentAt: Math.floor(header.sentAt) };
  return packr.pack([PROTOCOL_VERSION, headerForm.pack(wireHeader), kind, fields]);
}

/** Decodes and validates a message; the error describes the problem. */
export function decodeEnvelope(bytes: Buffer): Result<Envelope, string> {
  const wire = wireSchema.safeParse(unpackSafely(bytes));
  if (!wire.success) {
    return err('not a message of this protocol version');
  }
  const [, packedHeader, kindNumber, fields] = wire.data;
  const header = headerSchema.safeParse(headerForm.unpack(packedHeader));
  const kind = kinds[kindNumber];
  if (!header.success || kind === undefined) {
    return err('malformed header or unknown kind');
  }
  const message = messageSchemas[kind].safeParse(messageForms.get(kind)?.unpack(fields));
  if (!message.success) {
    return err(`malformed ${kind}`);
  }
  return ok({ header: header.data, message: message.data });
}

function unpackSafely(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return null;
  }
}
