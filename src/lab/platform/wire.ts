/** Schemas of the request bodies, with the limits of docs/PLATFORM-API.md. */
import { z } from 'zod';
import { machineSchema } from '../../shell/platform/index.js';

const MAX_KEYS = 100;
const MAX_SCAN_ROWS = 1_000;
const MAX_WRITES = 50;

const key = z.string().min(1).max(512);

/** `POST /table/get`. */
export const getRequestSchema = z.strictObject({ keys: z.array(key).max(MAX_KEYS) });

/** `POST /table/scan`. */
export const scanRequestSchema = z.strictObject({
  prefix: z.string().max(512),
  limit: z.int().min(1).max(MAX_SCAN_ROWS),
  after: z.string().max(512).optional(),
});

/** `POST /table/transact`. */
export const transactRequestSchema = z.strictObject({
  checks: z.array(z.strictObject({ key, version: z.int().min(0) })).max(MAX_WRITES),
  writes: z.array(z.strictObject({ key, value: z.json() })).max(MAX_WRITES),
});

/** `POST /machines`. */
export const putMachineRequestSchema = z.strictObject({ machine: machineSchema });

/** `POST /weights`: an admin call that adds weights. */
export const putWeightRequestSchema = z.strictObject({
  model: z.string().min(1),
  version: z.string().min(1),
  adapter: z.string().min(1).optional(),
  bytes: z.int().min(0),
});
