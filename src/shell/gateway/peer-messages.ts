/**
 * What gateways tell each other, and its wire form: one msgpack array a datagram, its first item the
 * kind. A message that cannot be read, or of a kind not known here, is passed over.
 */
import { pack, unpack } from 'msgpackr';
import * as z from 'zod/mini';
import type {
  EngineWork,
  LoadReport,
  LoadSums,
  ReachNotice,
  ReadNotice,
  ServerRecord,
  StageNotice,
  TableProgress,
  TableWordMessage,
} from '../../core/gateway/index.js';
import type { CacheEvent, WatchedRow } from './ports.js';
import type { TableChanges } from './table-watcher.js';

/** Entries of a message, so that it stays within one packet. */
export const MOST_ENTRIES = 40;

const KINDS = {
  report: 1,
  sums: 2,
  news: 3,
  stage: 4,
  tables: 5,
  servers: 6,
  configuration: 7,
} as const;

/** Engine, part, its tokens, and the milliseconds until it is read. */
const readsSchema = z.array(z.tuple([z.string(), z.string(), z.number(), z.number()]));
/** Server, whether it answers, and who found out. */
const reachSchema = z.array(z.tuple([z.string(), z.boolean(), z.string()]));
/** Engine, milliseconds of prompts in time, streams that run, milliseconds of late prompts. */
const workSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number()]));
const reportSchema = z.tuple([
  z.literal(KINDS.report),
  z.string(),
  z.number(),
  z.number(),
  workSchema,
  readsSchema,
  reachSchema,
]);
const sumsSchema = z.tuple([
  z.literal(KINDS.sums),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.boolean(),
  workSchema,
  readsSchema,
  reachSchema,
]);
const newsSchema = z.tuple([
  z.literal(KINDS.news),
  z.string(),
  z.array(z.tuple([z.string(), z.boolean(), z.array(z.tuple([z.string(), z.number()]))])),
]);
const stageSchema = z.tuple([
  z.literal(KINDS.stage),
  z.string(),
  z.enum(['prefill', 'decode']),
  z.enum(['changing', 'changed']),
]);
/** Revisions at which a table changed last, up to which it was seen, and where it was read whole. */
const progressSchema = z.tuple([z.number(), z.number(), z.number()]);
const tablesSchema = z.tuple([
  z.literal(KINDS.tables),
  z.string(),
  z.string(),
  progressSchema,
  progressSchema,
  z.number(),
  z.number(),
]);
/** Id, service, address, zone, slots, state, stage or nothing. */
const serverSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.enum(['ready', 'draining']),
  z.enum(['prefill', 'decode', '']),
]);
const serversSchema = z.tuple([
  z.literal(KINDS.servers),
  z.string(),
  z.number(),
  z.number(),
  z.array(serverSchema),
  z.array(z.string()),
]);
const configurationSchema = z.tuple([
  z.literal(KINDS.configuration),
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.instanceof(Uint8Array),
]);
/** The schema of each kind, so that a message is checked against its own alone. */
const schemaOfKind = new Map<unknown, MessageSchema>([
  [KINDS.servers, serversSchema],
  [KINDS.report, reportSchema],
  [KINDS.sums, sumsSchema],
  [KINDS.news, newsSchema],
  [KINDS.stage, stageSchema],
  [KINDS.tables, tablesSchema],
  [KINDS.configuration, configurationSchema],
]);

type MessageSchema =
  | typeof serversSchema
  | typeof reportSchema
  | typeof sumsSchema
  | typeof newsSchema
  | typeof stageSchema
  | typeof tablesSchema
  | typeof configurationSchema;

/** An engine's cache news, as its watcher passes them on. */
export interface EngineNews {
  readonly engineId: string;
  /** All that was known of the engine's cache before is void. */
  readonly isReset: boolean;
  readonly events: readonly CacheEvent[];
}

/** A change of the configuration, as the relay of a zone had it from the store. */
export interface PassedConfiguration {
  readonly after: number;
  readonly revision: number;
  readonly key: string;
  /** The row's value as the store holds it. */
  readonly encoded: Buffer;
}

/** A message between gateways. */
export type PeerMessage =
  | { readonly kind: 'report'; readonly report: LoadReport }
  /** A relay's sums: over all daemons to its own zone, over that zone to the relays of the others. */
  | { readonly kind: 'sums'; readonly zone: string; readonly sums: LoadSums }
  | { readonly kind: 'stage'; readonly notice: StageNotice }
  /** A relay is there, and says how far it has seen the store's tables change. */
  | {
      readonly kind: 'tables';
      readonly relay: string;
      readonly zone: string;
      readonly word: TableWordMessage;
    }
  /** Changes of the list of servers, as a zone's relay had them from the store. */
  | {
      readonly kind: 'servers';
      readonly zone: string;
      readonly changes: TableChanges<ServerRecord>;
    }
  | {
      readonly kind: 'configuration';
      readonly zone: string;
      readonly change: PassedConfiguration;
    }
  | { readonly kind: 'news'; readonly daemon: string; readonly news: readonly EngineNews[] };

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  switch (message.kind) {
    case 'report': {
      const { daemon, incarnation, sequence, work, reads, reach } = message.report;
      const head = [KINDS.report, daemon, incarnation, sequence];
      return pack([...head, encodeWork(work), encodeReads(reads), reach.map(encodeReach)]);
    }
    case 'sums': {
      const { relay, incarnation, sequence, isWhole, work, reads, reach } = message.sums;
      const head = [KINDS.sums, message.zone, relay, incarnation, sequence, isWhole];
      return pack([...head, encodeWork(work), encodeReads(reads), reach.map(encodeReach)]);
    }
    case 'stage': {
      const { engineId, stage, phase } = message.notice;
      return pack([KINDS.stage, engineId, stage, phase]);
    }
    case 'servers': {
      const { after, revision, rows } = message.changes;
      const head = [KINDS.servers, message.zone, after, revision];
      return pack([...head, rows.flatMap(encodeServer), rows.flatMap(goneKey)]);
    }
    case 'configuration': {
      const { after, revision, key, encoded } = message.change;
      return pack([KINDS.configuration, message.zone, after, revision, key, encoded]);
    }
    case 'tables': {
      const { configurations, servers, ageMs, peersChecksum } = message.word;
      const progress = [configurations, servers].map(encodeProgress);
      const head = [KINDS.tables, message.relay, message.zone];
      return pack([...head, ...progress, ageMs, peersChecksum]);
    }
    case 'news':
      return pack([KINDS.news, message.daemon, message.news.map(encodeNews)]);
  }
}

/** Reads a message; undefined for what is none. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = unpacked(bytes);
  const schema = Array.isArray(message) ? schemaOfKind.get(message[0]) : undefined;
  const parsed = schema?.safeParse(message);
  if (parsed?.success !== true) return undefined;
  const fields = parsed.data;
  switch (fields[0]) {
    case KINDS.report: {
      const [, daemon, incarnation, sequence, work, reads, reach] = fields;
      const told = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
      };
      return { kind: 'report', report: { daemon, incarnation, sequence, ...told } };
    }
    case KINDS.sums: {
      const [, zone, relay, incarnation, sequence, isWhole, work, reads, reach] = fields;
      const told = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
      };
      return { kind: 'sums', zone, sums: { relay, incarnation, sequence, isWhole, ...told } };
    }
    case KINDS.servers: {
      const [, zone, after, revision, servers, goneKeys] = fields;
      const gone = goneKeys.map((key) => ({ kind: 'gone', key }) as const);
      const rows = [...servers.map(decodeServer), ...gone];
      return { kind: 'servers', zone, changes: { after, revision, rows } };
    }
    case KINDS.stage: {
      const [, engineId, stage, phase] = fields;
      return { kind: 'stage', notice: { engineId, stage, phase } };
    }
    case KINDS.configuration: {
      const [, zone, after, revision, key, bytes] = fields;
      const change = { after, revision, key, encoded: Buffer.from(bytes) };
      return { kind: 'configuration', zone, change };
    }
    case KINDS.tables: {
      const [, relay, zone, configurations, servers, ageMs, peersChecksum] = fields;
      const word = {
        configurations: decodeProgress(configurations),
        servers: decodeProgress(servers),
        ageMs,
        peersChecksum,
      };
      return { kind: 'tables', relay, zone, word };
    }
    case KINDS.news: {
      const [, daemon, news] = fields;
      return {
        kind: 'news',
        daemon,
        news: news.map(([engineId, isReset, events]) => ({
          engineId,
          isReset,
          events: events.map(([partId, tokens]) => ({ partId, tokens })),
        })),
      };
    }
  }
}

function encodeProgress({ changed, seen, reread }: TableProgress): unknown[] {
  return [changed, seen, reread];
}

function decodeProgress([changed, seen, reread]: z.infer<typeof progressSchema>): TableProgress {
  return { changed, seen, reread };
}

function encodeServer(row: WatchedRow<ServerRecord>): unknown[] {
  if (row.kind !== 'value') return [];
  const { id, service, address, zone, slots, state, stage } = row.value;
  return [[id, service, address, zone, slots, state, stage ?? '']];
}

function goneKey(row: WatchedRow<ServerRecord>): string[] {
  return row.kind === 'gone' ? [row.key] : [];
}

function decodeServer(fields: z.infer<typeof serverSchema>): WatchedRow<ServerRecord> {
  const [id, service, address, zone, slots, state, stage] = fields;
  const value = { id, service, address, zone, slots, state, stage: stage || undefined };
  return { kind: 'value', key: id, value };
}

function encodeWork(work: readonly EngineWork[]): unknown[] {
  return work.map(({ engineId, pendingMs, running, lateMs }) => [
    engineId,
    Math.round(pendingMs),
    running,
    Math.round(lateMs),
  ]);
}

function decodeWork(work: readonly (readonly [string, number, number, number])[]): EngineWork[] {
  return work.map(([engineId, pendingMs, running, lateMs]) => ({
    engineId,
    pendingMs,
    running,
    lateMs,
  }));
}

function encodeReads(reads: readonly ReadNotice[]): unknown[] {
  return reads.map(({ engineId, part, readyInMs }) => [
    engineId,
    part.id,
    part.tokens,
    Math.round(readyInMs),
  ]);
}

function decodeReads(
  reads: readonly (readonly [string, string, number, number])[],
): readonly ReadNotice[] {
  return reads.map(([engineId, id, tokens, readyInMs]) => ({
    engineId,
    part: { id, tokens },
    readyInMs,
  }));
}

function encodeReach({ serverId, isReachable, by }: ReachNotice): unknown[] {
  return [serverId, isReachable, by];
}

function decodeReach([serverId, isReachable, by]: readonly [string, boolean, string]): ReachNotice {
  return { serverId, isReachable, by };
}

function encodeNews({ engineId, isReset, events }: EngineNews): unknown[] {
  return [engineId, isReset, events.map(({ partId, tokens }) => [partId, tokens])];
}

function unpacked(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
