/**
 * The parts of messages between gateways as they go on the wire: plain tuples, their schemas, and what they
 * stand for.
 */
import * as z from 'zod/mini';
import {
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

/** The first item of a message. */
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
} as const;

/** Engine by its short id, part, its tokens, and the milliseconds until it is read. */
const readsSchema = z.array(z.tuple([z.string(), z.string(), z.number(), z.number()]));
/** Service, milliseconds of engines that read and that generate, requests, short ones among them. */
const demandSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]));
/** Server, whether it answers, and who found out. */
const reachSchema = z.array(z.tuple([z.string(), z.boolean(), z.string()]));
/** Engine by its short id, milliseconds of prompts in time, streams that run, milliseconds of late prompts. */
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
 * Fingerprint; of each crash the server, its age and how long the request had been there, in milliseconds; whether it is
 * quarantined; clearings; whether the store has it; its age in milliseconds.
 */
const crashSchema = z.tuple([
  z.string(),
  z.array(z.tuple([z.string(), z.number(), z.number()])),
  z.boolean(),
  z.number(),
  z.boolean(),
  z.number(),
]);
export const crashesSchema = z.tuple([z.literal(KINDS.crashes), z.array(crashSchema)]);
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
/** The era of the store; left out for the first, and by daemons that do not know of eras. */
const eraSchema = z.optional(z.number());
/** Revisions at which a table changed last, up to which it was seen, and where it was read whole. */
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
]);
/**
 * Id, service, address, zone, slots, state, stage or nothing, whether it is a spot server; when it started, which
 * is left out where that is not known, and by daemons that do not tell it.
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
export const configurationSchema = z.tuple([
  z.literal(KINDS.configuration),
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.instanceof(Uint8Array),
  eraSchema,
]);
/** The window whose counts are asked for. */
export const usageAskedSchema = z.tuple([z.literal(KINDS.usageAsked), z.number()]);
/** Daemon, its life, window, which part of how many, tenants and their runs. */
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
/** An engine's cache news, as its watcher passes them on. */
export interface EngineCacheEvents {
  readonly engineId: string;
  /** All that was known of the engine's cache before is void. */
  readonly isReset: boolean;
  readonly events: readonly CacheEvent[];
}

/** Daemons that do not know of eras read a message only while it has none. */
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

export function goneKey(row: WatchedRow<ServerRecord>): string[] {
  return row.kind === 'gone' ? [row.key] : [];
}

export function decodeServer(fields: z.infer<typeof serverSchema>): WatchedRow<ServerRecord> {
  const [id, service, address, zone, slots, state, stage, isSpot, bornMs] = fields;
  const head = { id, service, address, zone, slots, state };
  const start = bornMs === undefined ? {} : { bornMs };
  const value = { ...head, stage: stage || undefined, isSpot, ...start };
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
  const { fingerprint, crashes, isQuarantined, clearings, isStored, ageMs } = record;
  return [
    fingerprint,
    crashes.map((crash) => [crash.serverId, Math.round(crash.ageMs), Math.round(crash.ranMs)]),
    isQuarantined,
    clearings,
    isStored,
    Math.round(ageMs),
  ];
}

export function decodeCrash(fields: z.infer<typeof crashSchema>): CrashRecord {
  const [fingerprint, told, isQuarantined, clearings, isStored, ageMs] = fields;
  const crashes = told.map(([serverId, crashAgeMs, ranMs]) => ({
    serverId,
    ageMs: crashAgeMs,
    ranMs,
  }));
  return { fingerprint, crashes, isQuarantined, clearings, isStored, ageMs };
}
