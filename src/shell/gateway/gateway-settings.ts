/**
 * The settings of a gateway, read from a YAML file and validated as a whole. A problem is reported with the key, the
 * value found there and a remedy.
 */
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
import * as z from 'zod/mini';

const spanMs = z.number().check(z.minimum(0));
const spanSeconds = z.number().check(z.minimum(0));
const text = z.string().check(z.minLength(1));
const ENDPOINT = /^([^\s:]+):(\d{1,5})$/;
const MAX_PORT = 65_535;
const hasPort = (written: string): boolean => Number(written.split(':')[1]) <= MAX_PORT;
/** HOST:PORT. */
const endpoint = z.pipe(
  z
    .string()
    .check(
      z.regex(ENDPOINT, 'give HOST:PORT'),
      z.refine(hasPort, `give a port of ${MAX_PORT} at most`),
    ),
  z.transform((written) => {
    const [host = '', port = ''] = written.split(':');
    return { host, port: Number(port) };
  }),
);

/**
 * Load decisions that an operator can switch off one by one, to measure the effect of each or to rule it out as the
 * cause of a problem. Without the load that it is made for, a decision changes nothing.
 */
const decisionsSchema = z.object({
  /** Requests wait at the daemon for capacity, by priority, and are refused if none can be free in time. */
  waiting: z._default(z.boolean(), true),
  /** Spare servers are ordered for services billed by the second, and lost ones are replaced at once. */
  spareCapacity: z._default(z.boolean(), true),
  /** Each engine gets a pace of its own, learnt by all daemons together; by default only if the engines differ. */
  enginePaces: z._default(z.enum(['never', 'where-unlike', 'always']), 'where-unlike'),
  /** Daemons that decide on the same advertised sums draw among nearly equal engines. */
  spreading: z._default(z.boolean(), true),
  /** Web servers are chosen by their load from all daemons. */
  webServerLoad: z._default(z.boolean(), true),
});

/** The load decisions, as switched on or off. */
export type LoadDecisions = z.infer<typeof decisionsSchema>;

/** The load decisions of settings that do not mention them. */
export const DEFAULT_LOAD_DECISIONS: LoadDecisions = decisionsSchema.parse({});

const settingsSchema = z.object({
  name: text,
  zone: text,
  listen: z.object({
    callers: endpoint,
    readiness: endpoint,
    metrics: z.optional(endpoint),
    peers: z.optional(endpoint),
  }),
  store: endpoint,
  /** Duties: calls to the platform that one daemon at a time makes. */
  duties: z.optional(
    z.object({
      address: endpoint,
      /** Usage is reported for windows of this length, aligned to Unix time; absent where no reports are wanted. */
      usageWindowSeconds: z.optional(z.number().check(z.minimum(0.1))),
      /** A window has to be reported within this time after its end. */
      usageDueSeconds: z._default(spanSeconds, 10),
    }),
  ),
  bounds: z.object({
    /** Once a daemon has been able to reach the store for this long, it has to act on all that the store holds. */
    contactMs: spanMs,
    /** Time from the stop signal until the process is killed. */
    stopGraceSeconds: spanSeconds,
    /** Time for which a server that drains still accepts work; absent where it accepts none. */
    drainMs: z.optional(spanMs),
    /** Lease of the daemon that holds a duty or orders stage changes. */
    leaseMs: spanMs,
  }),
  retryBudget: z.object({
    ratio: z.number().check(z.minimum(0)),
    /** Repeats allowed in a window beyond the ratio, shared by all daemons. */
    slack: z.number().check(z.minimum(0)),
  }),
  /** What the system gives this process; for a value that is absent, what the machine shows. */
  limits: z.optional(
    z.object({
      memoryMb: z.optional(z.number().check(z.minimum(1))),
      /** Descriptors of sockets and files. */
      descriptors: z.optional(z.number().check(z.minimum(1))),
    }),
  ),
  logging: z.object({ maxLinesPerSecond: z.number().check(z.minimum(1)) }),
  decisions: z._default(decisionsSchema, DEFAULT_LOAD_DECISIONS),
});

/** A gateway's settings. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/** A problem in a settings file. */
export interface SettingsProblem {
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
}

/** Parses and validates the text of a settings file. */
export function parseGatewaySettings(document: string): Result<GatewaySettings, SettingsProblem> {
  const parsed = parseYaml(document);
  if (parsed.isErr()) return err(parsed.error);
  const checked = settingsSchema.safeParse(parsed.value);
  if (checked.success) return ok(checked.data);
  const issue = checked.error.issues[0];
  const path = issue?.path ?? [];
  return err({
    key: path.join('.') || '(the whole file)',
    found: describe(valueAt(parsed.value, path)),
    remedy: `Set it as described in docs/OPERATING.md (${issue?.message ?? 'wrong value'}).`,
  });
}

function parseYaml(document: string): Result<unknown, SettingsProblem> {
  try {
    return ok(parse(document));
  } catch (cause) {
    return err({
      key: '(the whole file)',
      found: cause instanceof Error ? (cause.message.split('\n', 1)[0] ?? '') : String(cause),
      remedy: 'Correct the YAML syntax at this place.',
    });
  }
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const key of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = Reflect.get(current, key);
  }
  return current;
}

function describe(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
