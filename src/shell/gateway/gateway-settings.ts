/**
 * The settings of a gateway, read from a YAML file and checked whole. A wrong file is told with the
 * key, what was found there and what to do.
 */
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
import * as z from 'zod/mini';

const spanMs = z.number().check(z.minimum(0));
const spanSeconds = z.number().check(z.minimum(0));
const text = z.string().check(z.minLength(1));
const ENDPOINT = /^([^\s:]+):(\d{1,5})$/;
/** HOST:PORT. */
const endpoint = z.pipe(
  z.string().check(z.regex(ENDPOINT, 'give HOST:PORT')),
  z.transform((written) => {
    const [host = '', port = ''] = written.split(':');
    return { host, port: Number(port) };
  }),
);

/**
 * Decisions under load that an operator can switch off one by one, to see what each is worth or to rule it out as a
 * cause. Each changes nothing where its load is absent.
 */
const decisionsSchema = z.object({
  /** Requests wait at the daemon for room, in the operator's order, and are refused when none can come in time. */
  waiting: z._default(z.boolean(), true),
  /** Servers paid by the second are ordered with room for a loss, and made up at once after one. */
  spareCapacity: z._default(z.boolean(), true),
  /** Each engine has a pace of its own, learnt by all daemons together: only where they are shown to be unlike. */
  enginePaces: z._default(z.enum(['never', 'where-unlike', 'always']), 'where-unlike'),
  /** Daemons that decide by the same sums spread what they send. */
  spreading: z._default(z.boolean(), true),
  /** Web servers are chosen by the work of all daemons there. */
  webServerLoad: z._default(z.boolean(), true),
});

/** Which decisions under load are made. */
export type LoadDecisions = z.infer<typeof decisionsSchema>;

/** Those that are made where the settings say nothing. */
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
  /** Calls to the platform that one daemon at a time makes. */
  duties: z.optional(
    z.object({
      address: endpoint,
      /** Usage is reported for windows of this length, in true time; absent where it is not asked for. */
      usageWindowSeconds: z.optional(z.number().check(z.minimum(0.1))),
      /** How long after its end a window has to be reported. */
      usageDueSeconds: z._default(spanSeconds, 10),
    }),
  ),
  bounds: z.object({
    /** After this long with a path to the store a daemon is bound by all that the store says. */
    contactMs: spanMs,
    /** From the signal to stop until the process is ended. */
    stopGraceSeconds: spanSeconds,
    /** Lease of the daemon that orders engines. */
    leaseMs: spanMs,
  }),
  retryBudget: z.object({
    ratio: z.number().check(z.minimum(0)),
    /** Shared by all daemons. */
    slack: z.number().check(z.minimum(0)),
  }),
  logging: z.object({ maxLinesPerSecond: z.number().check(z.minimum(1)) }),
  decisions: z._default(decisionsSchema, DEFAULT_LOAD_DECISIONS),
});

/** A gateway's settings. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/** What is wrong with a settings file. */
export interface SettingsProblem {
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
}

/** Reads settings from a file's text. */
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
    remedy: `Set it as docs/OPERATING.md says (${issue?.message ?? 'wrong value'}).`,
  });
}

function parseYaml(document: string): Result<unknown, SettingsProblem> {
  try {
    return ok(parse(document));
  } catch (cause) {
    return err({
      key: '(the whole file)',
      found: cause instanceof Error ? (cause.message.split('\n', 1)[0] ?? '') : String(cause),
      remedy: 'Correct the YAML at this place.',
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
