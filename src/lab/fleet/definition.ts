/** The schema of a fleet's YAML file: the platform, the machines, and what they run. */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { parse as parseYaml } from 'yaml';
import { z } from 'zod';
import {
  type ConfigurationDocument,
  configurationSchema,
} from '../../core/configuration/document.js';
import { type Workload, workloadSchema } from '../workload/index.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'lower-case letters, digits, . -');
const milliseconds = z.int().min(0);

const engineSchema = z.strictObject({
  name,
  zone: name,
  accelerator: z.enum(['new', 'old']).default('new'),
  role: z.enum(['prefill', 'decode', 'mixed']).default('mixed'),
  pool: name.optional(),
  /** `MODEL@VERSION` */
  models: z.array(z.string()).default([]),
  /** `MODEL/ADAPTER@VERSION` */
  adapters: z.array(z.string()).default([]),
});

const fleetSchema = z
  .strictObject({
    name,
    zones: z.array(name).min(1),
    platform: z
      .strictObject({
        tableRate: z.number().positive().default(100),
        machineLagMs: milliseconds.default(500),
        /** Contents of the weight store: `MODEL@VERSION` or `MODEL/ADAPTER@VERSION`. */
        weights: z.array(z.string()).default([]),
      })
      .prefault({}),
    /** Settings of all engines. */
    engineDefaults: z
      .strictObject({
        models: z.array(z.string()).default([]),
        adapters: z.array(z.string()).default([]),
        speedFactor: z.number().positive().default(1),
        maxBatch: z.int().positive().default(64),
        roleChangeMs: milliseconds.default(4_000),
        loadMs: milliseconds.default(6_000),
      })
      .prefault({}),
    engines: z.array(engineSchema).min(1),
    webs: z.array(z.strictObject({ name, zone: name, service: name })).default([]),
    daemons: z.array(z.strictObject({ name, zone: name })).min(1),
    /** Paths of files, relative to this file. */
    configuration: z.string(),
    workload: z.string(),
  })
  .superRefine((fleet, context) => {
    const machines = [...fleet.engines, ...fleet.webs, ...fleet.daemons];
    for (const machine of machines) {
      if (fleet.zones.includes(machine.zone)) continue;
      const message = `${machine.name} is in ${machine.zone}, which is not among the zones`;
      context.addIssue({ code: 'custom', message, path: ['zones'] });
    }
    if (new Set(machines.map((machine) => machine.name)).size === machines.length) return;
    context.addIssue({ code: 'custom', message: 'two machines have one name', path: ['name'] });
  });

/** A fleet file, without the configuration and workload files that it references. */
export type FleetDefinition = z.infer<typeof fleetSchema>;
/** One engine of a fleet. */
export type EngineDefinition = FleetDefinition['engines'][number];

/** A fleet file with the configuration and workload files that it references. */
export interface Fleet {
  readonly definition: FleetDefinition;
  readonly configuration: ConfigurationDocument;
  readonly workload: Workload;
}

/** Reads a fleet file and the files it references. Throws an error with the file and the key. */
export function loadFleet(path: string): Fleet {
  const definition = readYaml(path, fleetSchema);
  const resolvePath = (relative: string): string => resolve(dirname(path), relative);
  return {
    definition,
    configuration: readYaml(resolvePath(definition.configuration), configurationSchema),
    workload: readYaml(resolvePath(definition.workload), workloadSchema),
  };
}

/** Reads a workload file. Throws an error with the file and the key. */
export function loadWorkload(path: string): Workload {
  return readYaml(path, workloadSchema);
}

function readYaml<T>(path: string, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(parseYaml(readFileSync(path, 'utf8')));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => {
    const key = issue.path.join('.') || 'the whole file';
    return `${path}: ${key}: ${issue.message}`;
  });
  throw new Error(problems.join('\n'));
}
