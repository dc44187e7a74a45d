/**
 * Messages between gateways and their wire form: one msgpack array per datagram, whose first item is the
 * kind. A message that is unreadable or of an unknown kind is ignored.
 */
import { pack, unpack } from 'msgpackr';
import type {
  CrashRecord,
  LoadReport,
  LoadSums,
  SendStamp,
  ServerRecord,
  StageNotice,
  TableDigest,
} from '../../core/gateway/index.js';
import { FIRST_ERA, type StorePosition } from '../../core/platform/store-position.js';
import type { UsagePart } from '../../core/tenant-usage/index.js';
import {
  type ClockMessage,
  clockAnsweredSchema,
  clockAskedSchema,
  decodeClockAnswered,
  decodeClockAsked,
  encodeClockMessage,
} from './clock-message-fields.js';
import {
  type DeparturesMessage,
  decodeDepartures,
  departuresSchema,
  encodeDepartures,
} from './departure-message-fields.js';
import {
  decodeLimitUpdate,
  decodePermitGrant,
  decodePermitRequest,
  encodeLimitMessage,
  type LimitMessage,
  limitUpdateSchema,
  permitGrantSchema,
  permitRequestSchema,
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
  encodeSoftwareVersion,
  encodeWork,
  KINDS,
  partCrashesSchema,
  removedKey,
  reportSchema,
  serversSchema,
  serversWithVersionsSchema,
  stageSchema,
  sumsSchema,
  tablesSchema,
  usageAskedSchema,
  usageCountedSchema,
  usageReportedSchema,
} from './peer-message-fields.js';
import { decodeOptionalStamp, encodeOptionalStamp } from './send-stamp-fields.js';
import {
  decodeStreamAnswered,
  decodeStreamAsked,
  decodeStreamRecords,
  encodeStreamMessage,
  type StreamMessage,
  streamAnsweredSchema,
  streamAskedSchema,
  streamRecordsSchema,
  streamRecordsStoredSchema,
} from './stream-message-fields.js';
import type { TableChanges } from './table-watcher.js';

export type { EngineCacheEvents } from './peer-message-fields.js';

/** Keeps a message within one packet. */
export const MAX_ENTRIES_PER_MESSAGE = 40;

/** The schema of each kind, so that a message is checked only against its own. */
const schemaOfKind = new Map<unknown, MessageSchema>([
  [KINDS.servers, serversSchema],
  [KINDS.serversWithVersions, serversWithVersionsSchema],
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
  [KINDS.partCrashes, partCrashesSchema],
  [KINDS.paces, pacesSchema],
  [KINDS.limitAsk, permitRequestSchema],
  [KINDS.limitGrant, permitGrantSchema],
  [KINDS.limitTold, limitUpdateSchema],
  [KINDS.streamRecords, streamRecordsSchema],
  [KINDS.streamRecordsStored, streamRecordsStoredSchema],
  [KINDS.streamAsked, streamAskedSchema],
  [KINDS.streamAnswered, streamAnsweredSchema],
  [KINDS.departures, departuresSchema],
  [KINDS.clockAsked, clockAskedSchema],
  [KINDS.clockAnswered, clockAnsweredSchema],
]);

type MessageSchema =
  | typeof serversSchema
  | typeof serversWithVersionsSchema
  | typeof reportSchema
  | typeof sumsSchema
  | typeof cacheEventsSchema
  | typeof stageSchema
  | typeof tablesSchema
  | typeof configurationSchema
  | typeof pacesSchema
  | typeof permitRequestSchema
  | typeof permitGrantSchema
  | typeof limitUpdateSchema
  | typeof streamRecordsSchema
  | typeof streamRecordsStoredSchema
  | typeof streamAskedSchema
  | typeof streamAnsweredSchema
  | typeof usageAskedSchema
  | typeof usageCountedSchema
  | typeof usageReportedSchema
  | typeof crashesSchema
  | typeof partCrashesSchema
  | typeof departuresSchema
  | typeof clockAskedSchema
  | typeof clockAnsweredSchema;

/** A change of the configuration, as the relay of a zone read it from the store. */
export interface ForwardedConfiguration extends StorePosition {
  readonly after: number;
  readonly key: string;
  /** The row's value as the store holds it. */
  readonly encoded: Buffer;
}

/** Messages between daemons on the usage of tenants. */
export type UsageMessage =
  /** The daemon that reports usage requests the counts of a window; the answer goes back to the sender. */
  | { readonly kind: 'usage-asked'; readonly window: number }
  | { readonly kind: 'usage-counted'; readonly part: UsagePart }
  | { readonly kind: 'usage-reported'; readonly window: number };

/** A message between gateways. */
export type PeerMessage =
  | UsageMessage
  | LimitMessage
  | StreamMessage
  | DeparturesMessage
  | ClockMessage
  | {
      readonly kind: 'report';
      readonly report: LoadReport;
      /** The version of the configuration in force at the daemon; 0 where it has none or does not report it. */
      readonly configurationVersion: number;
    }
  /** A relay's sums: over all daemons to its own zone, over its zone to the relays of the other zones. */
  | { readonly kind: 'sums'; readonly zone: string; readonly sums: LoadSums }
  | { readonly kind: 'stage'; readonly notice: StageNotice }
  /** A relay announces itself, and how far it has followed the store's tables. */
  | {
      readonly kind: 'tables';
      readonly relay: string;
      readonly zone: string;
      readonly digest: TableDigest;
      /** Absent where a daemon of an earlier release sent it. */
      readonly stamp?: SendStamp;
    }
  /** Changes of the list of servers, as a zone's relay read them from the store. */
  | {
      readonly kind: 'servers';
      readonly zone: string;
      readonly changes: TableChanges<ServerRecord>;
      /** Set where a daemon of an earlier release sent it: its rows lack the software versions of the servers. */
      readonly lacksSoftwareVersions?: true;
      /** Absent where a daemon of an earlier release sent it. */
      readonly stamp?: SendStamp;
    }
  | {
      readonly kind: 'configuration';
      readonly zone: string;
      readonly change: ForwardedConfiguration;
    }
  /** Paces of engines. */
  | { readonly kind: 'paces'; readonly message: PaceMessage }
  /** Records of requests that crash servers. */
  | { readonly kind: 'crashes'; readonly records: readonly CrashRecord[] }
  /** Records of parts of prompts that crash servers. */
  | { readonly kind: 'part-crashes'; readonly records: readonly CrashRecord[] }
  | { readonly kind: 'news'; readonly daemon: string; readonly news: readonly EngineCacheEvents[] };

/** Encodes a message as the content of a datagram. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  switch (message.kind) {
    case 'report': {
      const { daemon, incarnation, sequence, work, reads, reach, demand } = message.report;
      const head = [KINDS.report, daemon, incarnation, sequence];
      const lists = [encodeReads(reads), reach.map(encodeReach), demand.map(encodeDemand)];
      return pack([...head, encodeWork(work), ...lists, message.configurationVersion]);
    }
    case 'sums': {
      const { relay, incarnation, sequence, isComplete, work, reads, reach, demand } = message.sums;
      const head = [KINDS.sums, message.zone, relay, incarnation, sequence, isComplete];
      const lists = [encodeReads(reads), reach.map(encodeReach), demand.map(encodeDemand)];
      return pack([...head, encodeWork(work), ...lists]);
    }
    case 'stage': {
      const { engineId, stage, phase } = message.notice;
      return pack([KINDS.stage, engineId, stage, phase]);
    }
    case 'servers': {
      const { era, after, revision, rows } = message.changes;
      const span = [message.zone, after, revision];
      const [servers, removed] = [rows.flatMap(encodeServer), rows.flatMap(removedKey)];
      if (message.lacksSoftwareVersions === true)
        return pack([KINDS.servers, ...span, servers, removed, ...encodeEra(era)]);
      const versions = rows.flatMap(encodeSoftwareVersion);
      const head = [KINDS.serversWithVersions, ...span];
      return pack([
        ...head,
        servers,
        versions,
        removed,
        era,
        ...encodeOptionalStamp(message.stamp),
      ]);
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
      const counts = [ageMs, peersChecksum, configurationVersion];
      return pack([...head, ...progress, ...counts, ...encodeOptionalStamp(message.stamp)]);
    }
    case 'news':
      return pack([KINDS.news, message.daemon, message.news.map(encodeCacheEvents)]);
    case 'paces':
      return pack(encodePaces(message.message));
    case 'limit-ask':
    case 'limit-grant':
    case 'limit-told':
      return pack(encodeLimitMessage(message));
    case 'stream-records':
    case 'stream-records-stored':
    case 'stream-asked':
    case 'stream-answered':
      return pack(encodeStreamMessage(message));
    case 'departures':
      return pack(encodeDepartures(message));
    case 'clock-asked':
    case 'clock-answered':
      return pack(encodeClockMessage(message));
    case 'crashes':
      return pack([KINDS.crashes, message.records.map(encodeCrash)]);
    case 'part-crashes':
      return pack([KINDS.partCrashes, message.records.map(encodeCrash)]);
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

/** Decodes a message. @returns undefined where it is unreadable or of an unknown kind */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = unpacked(bytes);
  const schema = Array.isArray(message) ? schemaOfKind.get(message[0]) : undefined;
  const parsed = schema?.safeParse(message);
  if (parsed?.success !== true) return undefined;
  const fields = parsed.data;
  switch (fields[0]) {
    case KINDS.report: {
      const [, daemon, incarnation, sequence, work, reads, reach, demand, version] = fields;
      const lists = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
        demand: demand.map(decodeDemand),
      };
      const report = { daemon, incarnation, sequence, ...lists };
      return { kind: 'report', report, configurationVersion: version ?? 0 };
    }
    case KINDS.sums: {
      const [, zone, relay, incarnation, sequence, isComplete, work, reads, reach, demand] = fields;
      const lists = {
        work: decodeWork(work),
        reads: decodeReads(reads),
        reach: reach.map(decodeReach),
        demand: demand.map(decodeDemand),
      };
      return { kind: 'sums', zone, sums: { relay, incarnation, sequence, isComplete, ...lists } };
    }
    case KINDS.servers: {
      const [, zone, after, revision, servers, removedKeys, era = FIRST_ERA] = fields;
      const removed = removedKeys.map((key) => ({ kind: 'gone', key }) as const);
      const rows = [...servers.map((server) => decodeServer(server, null)), ...removed];
      const changes = { era, after, revision, rows };
      return { kind: 'servers', zone, changes, lacksSoftwareVersions: true };
    }
    case KINDS.serversWithVersions: {
      const [, zone, after, revision, servers, versions, removedKeys, era, stamp] = fields;
      const removed = removedKeys.map((key) => ({ kind: 'gone', key }) as const);
      const listed = servers.map((server, index) => decodeServer(server, versions[index] ?? null));
      const rows = [...listed, ...removed];
      const changes = { era, after, revision, rows };
      return { kind: 'servers', zone, changes, ...decodeOptionalStamp(stamp) };
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
      const [, relay, zone, configurations, servers, ageMs, peersChecksum, version, stamp] = fields;
      const digest = {
        configurations: decodeProgress(configurations),
        servers: decodeProgress(servers),
        configurationVersion: version ?? 0,
        ageMs,
        peersChecksum,
      };
      return { kind: 'tables', relay, zone, digest, ...decodeOptionalStamp(stamp) };
    }
    case KINDS.limitAsk:
      return decodePermitRequest(fields);
    case KINDS.limitGrant:
      return decodePermitGrant(fields);
    case KINDS.limitTold:
      return decodeLimitUpdate(fields);
    case KINDS.streamRecords:
      return decodeStreamRecords(fields);
    case KINDS.streamRecordsStored:
      return { kind: 'stream-records-stored', number: fields[1] };
    case KINDS.streamAsked:
      return decodeStreamAsked(fields);
    case KINDS.streamAnswered:
      return decodeStreamAnswered(fields);
    case KINDS.departures:
      return decodeDepartures(fields);
    case KINDS.clockAsked:
      return decodeClockAsked(fields);
    case KINDS.clockAnswered:
      return decodeClockAnswered(fields);
    case KINDS.paces:
      return { kind: 'paces', message: decodePaces(fields) };
    case KINDS.crashes:
      return { kind: 'crashes', records: fields[1].map(decodeCrash) };
    case KINDS.partCrashes:
      return { kind: 'part-crashes', records: fields[1].map(decodeCrash) };
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
