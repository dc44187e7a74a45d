/**
 * The wire form of the parts of messages between gateways: plain tuples, their schemas, and the conversion to
 * and from the values that they encode.
 */
import * as z from 'zod/mini';
import {
  type Crash,
  type CrashRecord,
  type EngineWork,
  type ReachabilityNotice,
  type ReadNotice,
  type ServerRecord,
  type ServiceDemand,
  shortIdOf,
  type TableProgress,
} from '../../core/gateway/index.js';
import { FIRST_ERA } from '../../core/platform/store-position.js';
import type { CacheEvent, WatchedRow } from './ports.js';
import { optionalStampSchema } from './send-stamp-fields.js';

/** The first item of a message, by kind. */
export const KINDS = {
  report: 1,
  sums: 2,
  news: 3,
  stage: 4,
  tables: 5,
  servers: 6,
  configuration: 7,
  usageAsked: 8,
  usageCounted: 9,
  usageReported: 10,
  crashes: 11,
  paces: 12,
  limitAsk: 13,
  limitGrant: 14,
  limitTold: 15,
  serversWithVersions: 16,
  streamRecords: 17,
  streamRecordsStored: 18,
  streamAsked: 19,
  streamAnswered: 20,
  departures: 21,
  partCrashes: 22,
  clockAsked: 23,
  clockAnswered: 24,
} as const;

/** Engine by its short id, prompt part, its tokens, milliseconds until it is prefilled. */
const readsSchema = z.array(z.tuple([z.string(), z.string(), z.number(), z.number()]));
/** Service, milliseconds of prefill engines and of decode engines, requests, short ones among them. */
const demandSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]));
/** Server, whether it is reachable, the daemon that found out. */
const reachSchema = z.array(z.tuple([z.string(), z.boolean(), z.string()]));
/** Engine by its short id, milliseconds of prompts that are in time, running streams, milliseconds of late prompts. */
const workSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number()]));
export const reportSchema = z.tuple([
  z.literal(KINDS.report),
  z.string(),
  z.number(),
  z.number(),
  workSchema,
  readsSchema,
  reachSchema,
  demandSchema,
  z.optional(z.number()),
]);
export const sumsSchema = z.tuple([
  z.literal(KINDS.sums),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.boolean(),
  workSchema,
  readsSchema,
  reachSchema,
  demandSchema,
]);
/**
 * Subject; for each crash the boot of the server, the age and how long the request had been there, in milliseconds, and
 * which request it was, in records of parts; whether the subject is quarantined; clearings; whether the store has the
 * record; its age in milliseconds.
 */
type EncodedCrash = z.infer<typeof crashSchema>[1][number];
const crashSchema = z.tuple([
  z.string(),
  z.array(z.tuple([z.string(), z.number(), z.number(), z.optional(z.string())])),
  z.boolean(),
  z.number(),
  z.boolean(),
  z.number(),
]);
export const crashesSchema = z.tuple([z.literal(KINDS.crashes), z.array(crashSchema)]);
export const partCrashesSchema = z.tuple([z.literal(KINDS.partCrashes), z.array(crashSchema)]);
export const cacheEventsSchema = z.tuple([
  z.literal(KINDS.news),
  z.string(),
  z.array(z.tuple([z.string(), z.boolean(), z.array(z.tuple([z.string(), z.number()]))])),
]);
export const stageSchema = z.tuple([
  z.literal(KINDS.stage),
  z.string(),
  z.enum(['prefill', 'decode']),
  z.enum(['changing', 'changed']),
]);
/** The era of the store; omitted for the first one, and by daemons of versions without eras. */
const eraSchema = z.optional(z.number());
/** Revisions at which a table changed last, up to which it was followed, and at which it was read completely. */
const progressSchema = z.tuple([z.number(), z.number(), z.number(), eraSchema]);
export const tablesSchema = z.tuple([
  z.literal(KINDS.tables),
  z.string(),
  z.string(),
  progressSchema,
  progressSchema,
  z.number(),
  z.number(),
  z.optional(z.number()),
  optionalStampSchema,
]);
/**
 * Id, service, address, zone, slots, state, stage or an empty string, whether it is a spot server; when it started,
 * omitted where that is unknown, and by daemons of versions that do not send it.
 */
const serverSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.enum(['ready', 'draining']),
  z.enum(['prefill', 'decode', '']),
  z.boolean(),
  z.optional(z.number()),
]);
export const serversSchema = z.tuple([
  z.literal(KINDS.servers),
  z.string(),
  z.number(),
  z.number(),
  z.array(serverSchema),
  z.array(z.string()),
  eraSchema,
]);
/** As `serversSchema`, with the software versions of the servers in their order; null for one that states none. */
export const serversWithVersionsSchema = z.tuple([
  z.literal(KINDS.serversWithVersions),
  z.string(),
  z.number(),
  z.number(),
  z.array(serverSchema),
  z.array(z.nullable(z.string())),
  z.array(z.string()),
  z.number(),
  optionalStampSchema,
]);
export const configurationSchema = z.tuple([
  z.literal(KINDS.configuration),
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.instanceof(Uint8Array),
  eraSchema,
]);
/** The window whose counts are requested. */
export const usageAskedSchema = z.tuple([z.literal(KINDS.usageAsked), z.number()]);
/** Daemon, its incarnation, window, number of the part, number of parts, tenants and their runs. */
export const usageCountedSchema = z.tuple([
  z.literal(KINDS.usageCounted),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number()])),
]);
/** The window that was reported. */
export const usageReportedSchema = z.tuple([z.literal(KINDS.usageReported), z.number()]);
/** Cache events of an engine, as the daemon that polls it forwards them. */
export interface EngineCacheEvents {
  readonly engineId: string;
  /** Whether all that was known of the engine's cache before is invalid. */
  readonly isReset: boolean;
  readonly events: readonly CacheEvent[];
}

/** Omits the first era: daemons of versions without eras can read a message only without it. */
export function encodeEra(era: number): readonly number[] {
  return era === FIRST_ERA ? [] : [era];
}

export function encodeProgress({ era, changed, seen, reread }: TableProgress): unknown[] {
  return [changed, seen, reread, ...encodeEra(era)];
}

export function decodeProgress([changed, seen, reread, era = FIRST_ERA]: z.infer<
  typeof progressSchema
>): TableProgress {
  return { era, changed, seen, reread };
}

export function encodeServer(row: WatchedRow<ServerRecord>): unknown[] {
  if (row.kind !== 'value') return [];
  const { id, service, address, zone, slots, state, stage, isSpot, bornMs } = row.value;
  const start = bornMs === undefined ? [] : [bornMs];
  return [[id, service, address, zone, slots, state, stage ?? '', isSpot, ...start]];
}

/** The software version of a row's server, as a list for `flatMap`. */
export function encodeSoftwareVersion(row: WatchedRow<ServerRecord>): (string | null)[] {
  return row.kind === 'value' ? [row.value.softwareVersion ?? null] : [];
}

export function removedKey(row: WatchedRow<ServerRecord>): string[] {
  return row.kind === 'gone' ? [row.key] : [];
}

/** @param softwareVersion null where the server states none or the message carries none */
export function decodeServer(
  fields: z.infer<typeof serverSchema>,
  softwareVersion: string | null,
): WatchedRow<ServerRecord> {
  const [id, service, address, zone, slots, state, stage, isSpot, bornMs] = fields;
  const head = { id, service, address, zone, slots, state };
  const start = bornMs === undefined ? {} : { bornMs };
  const version = softwareVersion === null ? {} : { softwareVersion };
  const value = { ...head, stage: stage || undefined, isSpot, ...start, ...version };
  return { kind: 'value', key: id, value };
}

export function encodeWork(work: readonly EngineWork[]): unknown[] {
  return work.map(({ engineId, pendingMs, running, lateMs }) => [
    shortIdOf(engineId),
    Math.round(pendingMs),
    running,
    Math.round(lateMs),
  ]);
}

export function decodeWork(
  work: readonly (readonly [string, number, number, number])[],
): EngineWork[] {
  return work.map(([engineId, pendingMs, running, lateMs]) => ({
    engineId,
    pendingMs,
    running,
    lateMs,
  }));
}

export function encodeReads(reads: readonly ReadNotice[]): unknown[] {
  return reads.map(({ engineId, part, readyInMs }) => [
    shortIdOf(engineId),
    part.id,
    part.tokens,
    Math.round(readyInMs),
  ]);
}

export function decodeReads(
  reads: readonly (readonly [string, string, number, number])[],
): readonly ReadNotice[] {
  return reads.map(([engineId, id, tokens, readyInMs]) => ({
    engineId,
    part: { id, tokens },
    readyInMs,
  }));
}

export function encodeDemand(demand: ServiceDemand): unknown[] {
  const { service, prefillMs, decodeMs, requests, shortRequests } = demand;
  return [service, Math.round(prefillMs), Math.round(decodeMs), requests, shortRequests];
}

export function decodeDemand(
  fields: readonly [string, number, number, number, number],
): ServiceDemand {
  const [service, prefillMs, decodeMs, requests, shortRequests] = fields;
  return { service, prefillMs, decodeMs, requests, shortRequests };
}

export function encodeReach({ serverId, isReachable, by }: ReachabilityNotice): unknown[] {
  return [serverId, isReachable, by];
}

export function decodeReach([serverId, isReachable, by]: readonly [
  string,
  boolean,
  string,
]): ReachabilityNotice {
  return { serverId, isReachable, by };
}

export function encodeCacheEvents({ engineId, isReset, events }: EngineCacheEvents): unknown[] {
  return [engineId, isReset, events.map(({ partId, tokens }) => [partId, tokens])];
}

export function encodeCrash(record: CrashRecord): z.infer<typeof crashSchema> {
  const { subject, crashes, isQuarantined, clearings, isStored, ageMs } = record;
  const encoded = crashes.map(encodeCrashOf);
  return [subject, encoded, isQuarantined, clearings, isStored, Math.round(ageMs)];
}

function encodeCrashOf({ serverId, ageMs, ranMs, request }: Crash): EncodedCrash {
  const fields = [serverId, Math.round(ageMs), Math.round(ranMs)] as const;
  return request === undefined ? [...fields] : [...fields, request];
}

export function decodeCrash(fields: z.infer<typeof crashSchema>): CrashRecord {
  const [subject, encodedCrashes, isQuarantined, clearings, isStored, ageMs] = fields;
  const crashes = encodedCrashes.map(([serverId, crashAgeMs, ranMs, request]) => ({
    serverId,
    ageMs: crashAgeMs,
    ranMs,
    ...(request === undefined ? {} : { request }),
  }));
  return { subject, crashes, isQuarantined, clearings, isStored, ageMs };
}
