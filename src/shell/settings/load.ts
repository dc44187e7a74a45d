/**
 * Reads a daemon's settings from a file, from flags or from both, and checks them whole.
 */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { formatEndpoint, isLoopback } from './endpoint.js';
import { flagForPath, overlayFlags, type SettingsFlags } from './flags.js';
import { keyNamesAt } from './keys.js';
import { describeFound, type SettingsProblem } from './problem.js';
import {
  type CheckedSettings,
  type DaemonSettings,
  type FleetKeySource,
  MIN_FLEET_KEY_LENGTH,
  settingsSchema,
} from './schema.js';
import { parseSettingsDocument, type SettingsDocument } from './settings-document.js';
import { closestName } from './spelling.js';

/** Reads a whole text file; throws when it can't be read. */
export type ReadFile = (path: string) => string;

/** Environment variables. */
export type Environment = Readonly<Record<string, string | undefined>>;

const FLAGS_ONLY_SOURCE = 'command line';
const SECRET_KEYS: ReadonlySet<PropertyKey> = new Set(['fleetKey', 'digest']);

/** Where the settings came from, for pointing at the place of a problem. */
interface SettingsOrigin {
  readonly file: string;
  readonly document: SettingsDocument | null;
  readonly flags: SettingsFlags;
}

/** Loads and checks settings; on failure tells every problem found, each with its remedy. */
export function loadSettings(
  flags: SettingsFlags,
  readFile: ReadFile,
  environment: Environment = process.env,
): Result<DaemonSettings, SettingsProblem[]> {
  return readOrigin(flags, readFile).andThen((origin) =>
    checkShape(origin).andThen((checked) => complete(checked, origin, readFile, environment)),
  );
}

function readOrigin(
  flags: SettingsFlags,
  readFile: ReadFile,
): Result<SettingsOrigin, SettingsProblem[]> {
  const file = flags.settings;
  if (file === undefined) return ok({ file: FLAGS_ONLY_SOURCE, document: null, flags });
  const text = readText(file, readFile);
  if (text.isErr()) {
    return err([
      {
        source: file,
        line: null,
        key: '',
        found: `no readable file (${text.error})`,
        remedy: 'give --settings the path of a file that this process may read',
      },
    ]);
  }
  return parseSettingsDocument(file, text.value).map((document) => ({ file, document, flags }));
}

function readText(path: string, readFile: ReadFile): Result<string, string> {
  try {
    return ok(readFile(path));
  } catch (cause) {
    return err(cause instanceof Error ? cause.message : String(cause));
  }
}

function checkShape(origin: SettingsOrigin): Result<CheckedSettings, SettingsProblem[]> {
  const content = overlayFlags(origin.document?.content ?? undefined, origin.flags) ?? {};
  const parsed = settingsSchema.safeParse(content);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => problemsOf(issue, content, origin)));
}

function problemsOf(
  issue: z.core.$ZodIssue,
  content: unknown,
  origin: SettingsOrigin,
): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownKeyProblem(issue.path, key, origin));
  }
  const isSecret = issue.path.some((segment) => SECRET_KEYS.has(segment));
  return [
    problemAt(
      issue.path,
      origin,
      describeFound(valueAt(content, issue.path), isSecret),
      issue.message,
    ),
  ];
}

function unknownKeyProblem(
  path: readonly PropertyKey[],
  key: string,
  origin: SettingsOrigin,
): SettingsProblem {
  const suggestion = closestName(key, keyNamesAt(path));
  return {
    source: origin.file,
    line: origin.document?.lineOfKey(path, key) ?? null,
    key: dotted([...path, key]),
    found: 'a key that does not exist',
    remedy: suggestion === null ? 'remove it' : `remove it or write ${suggestion}`,
  };
}

function problemAt(
  path: readonly PropertyKey[],
  origin: SettingsOrigin,
  found: string,
  remedy: string,
): SettingsProblem {
  const flag = flagForPath(path, origin.flags);
  return {
    source: flag ?? origin.file,
    line: flag === null ? (origin.document?.lineOf(path) ?? null) : null,
    key: dotted(path),
    found,
    remedy,
  };
}

function complete(
  checked: CheckedSettings,
  origin: SettingsOrigin,
  readFile: ReadFile,
  environment: Environment,
): Result<DaemonSettings, SettingsProblem[]> {
  const problems: SettingsProblem[] = [];
  const key = readFleetKey(checked.fleetKey, readFile, environment);
  if (key.isErr()) {
    problems.push(
      problemAt(['fleetKey', key.error.source], origin, key.error.found, key.error.remedy),
    );
  }
  if (noOperatorCouldConnect(checked)) {
    problems.push(
      problemAt(
        ['listen', 'operators'],
        origin,
        'an address that is not loopback, and no operatorTokens',
        'add an operator token, listen on 127.0.0.1, or set allowUnauthenticatedOperators: true',
      ),
    );
  }
  problems.push(...sharedAddressProblems(checked, origin));
  if (key.isErr() || problems.length > 0) return err(problems);
  return ok({ ...checked, fleetKey: key.value });
}

interface FleetKeyProblem {
  readonly source: 'file' | 'env' | 'value';
  readonly found: string;
  readonly remedy: string;
}

function readFleetKey(
  source: FleetKeySource,
  readFile: ReadFile,
  environment: Environment,
): Result<string, FleetKeyProblem> {
  if (source.file !== undefined) return readFleetKeyFile(source.file, readFile);
  if (source.env !== undefined) {
    return longEnough('env', environment[source.env]?.trim() ?? '');
  }
  return longEnough('value', source.value ?? '');
}

function readFleetKeyFile(path: string, readFile: ReadFile): Result<string, FleetKeyProblem> {
  return readText(path, readFile)
    .mapErr((reason) => ({
      source: 'file' as const,
      found: `no readable file (${reason})`,
      remedy: 'give the path of a file that holds the fleet key',
    }))
    .andThen((text) => longEnough('file', text.trim()));
}

function longEnough(
  source: FleetKeyProblem['source'],
  key: string,
): Result<string, FleetKeyProblem> {
  if (key.length >= MIN_FLEET_KEY_LENGTH) return ok(key);
  return err({
    source,
    found: key === '' ? 'no fleet key there' : `a fleet key of ${key.length} characters`,
    remedy: `give a random key of at least ${MIN_FLEET_KEY_LENGTH} characters, the same on all daemons`,
  });
}

function noOperatorCouldConnect(checked: CheckedSettings): boolean {
  const needsToken =
    !isLoopback(checked.listen.operators.address) && !checked.allowUnauthenticatedOperators;
  return needsToken && checked.operatorTokens.length === 0;
}

const LISTENERS = ['callers', 'operators', 'peers'] as const;

/** Listeners that would take an address that another one has already. */
function sharedAddressProblems(
  { listen }: CheckedSettings,
  origin: SettingsOrigin,
): readonly SettingsProblem[] {
  const owners = new Map<string, string>();
  return LISTENERS.flatMap((name) => {
    const address = formatEndpoint(listen[name]);
    const owner = owners.get(address);
    owners.set(address, name);
    if (owner === undefined || listen[name].port === 0) return [];
    const found = `${address}, which listen.${owner} has too`;
    return [problemAt(['listen', name], origin, found, 'give each listener a port of its own')];
  });
}

/**
 * Whether operators may go without a token: when told so outright, or on loopback as long as no
 * token has been set up.
 */
export function allowsUnauthenticatedOperators(settings: DaemonSettings): boolean {
  if (settings.allowUnauthenticatedOperators) return true;
  return settings.operatorTokens.length === 0 && isLoopback(settings.listen.operators.address);
}

function valueAt(content: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' && value !== null ? Reflect.get(value, segment) : undefined,
    content,
  );
}

function dotted(path: readonly PropertyKey[]): string {
  return path.map(String).join('.');
}
