/**
 * What gateways tell each other, and its wire form: one msgpack array a datagram, its first item the
 * kind. A message that cannot be read, or of a kind not known here, is passed over.
 */
import { pack, unpack } from 'msgpackr';
import type {
  CrashRecord,
  LoadReport,
  LoadSums,
  ServerRecord,
  StageNotice,
  TableDigest,
} from '../../core/gateway/index.js';
import { FIRST_ERA, type StorePosition } from '../../core/platform/store-position.js';
import type { UsagePart } from '../../core/tenant-usage/index.js';
import {
  decodeLimitAsk,
  decodeLimitGrant,
  decodeLimitTold,
  encodeLimitMessage,
  type LimitMessage,
  limitAskSchema,
  limitGrantSchema,
  limitToldSchema,
} from './limit-message-fields.js';
import { decodePaces, encodePaces, type PaceMessage, pacesSchema } from './pace-message-fields.js';
import {
  cacheEventsSchema,
  configurationSchema,
  crashesSchema,
  decodeCrash,
  decodeDemand,
  decodeProgress,
  decodeReach,
  decodeReads,
  decodeServer,
  decodeWork,
  type EngineCacheEvents,
  encodeCacheEvents,
  encodeCrash,
  encodeDemand,
  encodeEra,
  encodeProgress,
  encodeReach,
  encodeReads,
  encodeServer,
  encodeWork,
  goneKey,
  KINDS,
  reportSchema,
  serversSchema,
  stageSchema,
  sumsSchema,
  tablesSchema,
  usageAskedSchema,
  usageCountedSchema,
  usageReportedSchema,
} from './peer-message-fields.js';
import type { TableChanges } from './table-watcher.js';

export type { EngineCacheEvents } from './peer-message-fields.js';

/** Entries of a message, so that it stays within one packet. */
export const MAX_ENTRIES_PER_MESSAGE = 40;

/** The schema of each kind, so that a message is checked against its own alone. */
const schemaOfKind = new Map<unknown, MessageSchema>([
  [KINDS.servers, serversSchema],
  [KINDS.report, reportSchema],
  [KINDS.sums, sumsSchema],
  [KINDS.news, cacheEventsSchema],
  [KINDS.stage, stageSchema],
  [KINDS.tables, tablesSchema],
  [KINDS.configuration, configurationSchema],
  [KINDS.usageAsked, usageAskedSchema],
  [KINDS.usageCounted, usageCountedSchema],
  [KINDS.usageReported, usageReportedSchema],
  [KINDS.crashes, crashesSchema],
  [KINDS.paces, pacesSchema],
  [KINDS.limitAsk, limitAskSchema],
  [KINDS.limitGrant, limitGrantSchema],
  [KINDS.limitTold, limitToldSchema],
]);

type MessageSchema =
  | typeof serversSchema
  | typeof reportSchema
  | typeof sumsSchema
  | typeof cacheEventsSchema
  | typeof stageSchema
  | typeof tablesSchema
  | typeof configurationSchema
  | typeof pacesSchema
  | typeof limitAskSchema
  | typeof limitGrantSchema
  | typeof limitToldSchema
  | typeof usageAskedSchema
  | typeof usageCountedSchema
  | typeof usageReportedSchema
  | typeof crashesSchema;

/** A change of the configuration, as the relay of a zone had it from the store. */
export interface ForwardedConfiguration extends StorePosition {
  readonly after: number;
  readonly key: string;
  /** The row's value as the store holds it. */
  readonly encoded: Buffer;
}

/** What daemons tell each other of the usage of tenants. */
export type UsageMessage =
  /** Whoever reports usage asks for the counts of a window; the answer goes back to where this came from. */
  | { readonly kind: 'usage-asked'; readonly window: number }
  | { readonly kind: 'usage-counted'; readonly part: UsagePart }
  | { readonly kind: 'usage-reported'; readonly window: number };

/** A message between gateways. */
export type PeerMessage =
  | UsageMessage
  | LimitMessage
  | {
      readonly kind: 'report';
      readonly report: LoadReport;
      /** The version of the configuration that the daemon has in force; 0 where it has none, or does not say. */
      readonly configurationVersion: number;
    }
  /** A relay's sums: over all daemons to its own zone, over that zone to the relays of the others. */
  | { readonly kind: 'sums'; readonly zone: string; readonly sums: LoadSums }
  | { readonly kind: 'stage'; readonly notice: StageNotice }
  /** A relay is there, and says how far it has seen the store's tables change. */
  | {
      readonly kind: 'tables';
      readonly relay: string;
      readonly zone: string;
      readonly digest: TableDigest;
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
      readonly change: ForwardedConfiguration;
    }
  /** Paces of engines. */
  | { readonly kind: 'paces'; readonly message: PaceMessage }
  /** What a daemon knows of requests that end servers. */
  | { readonly kind: 'crashes'; readonly records: readonly CrashRecord[] }
  | { readonly kind: 'news'; readonly daemon: string; readonly news: readonly EngineCacheEvents[] };

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  switch (message.kind) {
    case 'report': {
      const { daemon, incarnation, sequence, work, reads, reach, demand } = message.report;
      const head = [KINDS.report, daemon, incarnation, sequence];
      const news = [encodeReads(reads), reach.map(encodeReach), demand.map(encodeDemand)];
      return pack([...head, encodeWork(work), ...news, message.configurationVersion]);
    }
    case 'sums': {
      const { relay, incarnation, sequence, isComplete, work, reads, reach, demand } = message.sums;
      const head = [KINDS.sums, message.zone, relay, incarnation, sequence, isComplete];
      const news = [encodeReads(reads), reach.map(encodeReach), demand.map(encodeDemand)];
      return pack([...head, encodeWork(work), ...news]);
    }
    case 'stage': {
      const { engineId, stage, phase } = message.notice;
      return pack([KINDS.stage, engineId, stage, phase]);
    }
    case 'servers': {
      const { era, after, revision, rows } = message.changes;
      const head = [KINDS.servers, message.zone, after, revision];
      const changed = [rows.flatMap(encodeServer), rows.flatMap(goneKey)];
      return pack([...head, ...changed, ...encodeEra(era)]);
    }
    case 'configuration': {
      const { era, after, revision, key, encoded } = message.change;
      const head = [KINDS.configuration, message.zone, after, revision];
      return pack([...head, key, encoded, ...encodeEra(era)]);
    }
    case 'tables': {
      const { configurations, servers, ageMs, peersChecksum, configurationVersion } =
        message.digest;
      const progress = [configurations, servers].map(encodeProgress);
      const head = [KINDS.tables, message.relay, message.zone];
      return pack([...head, ...progress, ageMs, peersChecksum, configurationVersion]);
    }
    case 'news':
      return pack([KINDS.news, message.daemon, message.news.map(encodeCacheEvents)]);
    case 'paces':
      return pack(encodePaces(message.message));
    case 'limit-ask':
    case 'limit-grant':
    case 'limit-told':
      return pack(encodeLimitMessage(message));
    case 'crashes':
      return pack([KINDS.crashes, message.records.map(encodeCrash)]);
    case 'usage-asked':
      return pack([KINDS.usageAsked, message.window]);
    case 'usage-reported':
      return pack([KINDS.usageReported, message.window]);
    case 'usage-counted': {
      const { daemon, incarnation, window, part, parts, counts } = message.part;
      return pack([KINDS.usageCounted, daemon, incarnation, window, part, parts, counts]);
    }
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
      const [, daemon, incarnation, sequence, work, reads, reach, demand, version] = fields;
      const told = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
        demand: demand.map(decodeDemand),
      };
      const report = { daemon, incarnation, sequence, ...told };
      return { kind: 'report', report, configurationVersion: version ?? 0 };
    }
    case KINDS.sums: {
      const [, zone, relay, incarnation, sequence, isComplete, work, reads, reach, demand] = fields;
      const told = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
        demand: demand.map(decodeDemand),
      };
      return { kind: 'sums', zone, sums: { relay, incarnation, sequence, isComplete, ...told } };
    }
    case KINDS.servers: {
      const [, zone, after, revision, servers, goneKeys, era = FIRST_ERA] = fields;
      const gone = goneKeys.map((key) => ({ kind: 'gone', key }) as const);
      const rows = [...servers.map(decodeServer), ...gone];
      return { kind: 'servers', zone, changes: { era, after, revision, rows } };
    }
    case KINDS.stage: {
      const [, engineId, stage, phase] = fields;
      return { kind: 'stage', notice: { engineId, stage, phase } };
    }
    case KINDS.configuration: {
      const [, zone, after, revision, key, bytes, era = FIRST_ERA] = fields;
      const change = { era, after, revision, key, encoded: Buffer.from(bytes) };
      return { kind: 'configuration', zone, change };
    }
    case KINDS.tables: {
      const [, relay, zone, configurations, servers, ageMs, peersChecksum, version] = fields;
      const digest = {
        configurations: decodeProgress(configurations),
        servers: decodeProgress(servers),
        configurationVersion: version ?? 0,
        ageMs,
        peersChecksum,
      };
      return { kind: 'tables', relay, zone, digest };
    }
    case KINDS.limitAsk:
      return decodeLimitAsk(fields);
    case KINDS.limitGrant:
      return decodeLimitGrant(fields);
    case KINDS.limitTold:
      return decodeLimitTold(fields);
    case KINDS.paces:
      return { kind: 'paces', message: decodePaces(fields) };
    case KINDS.crashes:
      return { kind: 'crashes', records: fields[1].map(decodeCrash) };
    case KINDS.usageAsked:
      return { kind: 'usage-asked', window: fields[1] };
    case KINDS.usageReported:
      return { kind: 'usage-reported', window: fields[1] };
    case KINDS.usageCounted: {
      const [, daemon, incarnation, window, part, parts, counts] = fields;
      const counted = { daemon, incarnation, window, part, parts, counts };
      return { kind: 'usage-counted', part: counted };
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

function unpacked(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
