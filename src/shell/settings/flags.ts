/**
 * The flags of `threadforkd` that stand for keys of the settings file, and how they are laid over it.
 */

/** Flags as the command line gives them; a flag that is given wins over the file. */
export interface SettingsFlags {
  /** Path of the settings file; without it all settings come from flags. */
  readonly settings?: string | undefined;
  readonly name?: string | undefined;
  readonly zone?: string | undefined;
  readonly listenCallers?: string | undefined;
  readonly listenOperators?: string | undefined;
  readonly listenPeers?: string | undefined;
  readonly platform?: string | undefined;
  readonly fleetKeyFile?: string | undefined;
  readonly fleetKeyEnv?: string | undefined;
  readonly allowUnauthenticatedOperators?: boolean | undefined;
  readonly seeds?: readonly string[] | undefined;
  readonly stopGraceMs?: string | undefined;
  readonly logLevel?: string | undefined;
}

interface FlagBinding {
  readonly property: Exclude<keyof SettingsFlags, 'settings'>;
  readonly flag: string;
  readonly path: readonly string[];
}

/** Which flag stands for which key. */
const FLAG_BINDINGS: readonly FlagBinding[] = [
  { property: 'name', flag: '--name', path: ['name'] },
  { property: 'zone', flag: '--zone', path: ['zone'] },
  { property: 'listenCallers', flag: '--listen-callers', path: ['listen', 'callers'] },
  { property: 'listenOperators', flag: '--listen-operators', path: ['listen', 'operators'] },
  { property: 'listenPeers', flag: '--listen-peers', path: ['listen', 'peers'] },
  { property: 'platform', flag: '--platform', path: ['platform'] },
  { property: 'fleetKeyFile', flag: '--fleet-key-file', path: ['fleetKey', 'file'] },
  { property: 'fleetKeyEnv', flag: '--fleet-key-env', path: ['fleetKey', 'env'] },
  {
    property: 'allowUnauthenticatedOperators',
    flag: '--allow-unauthenticated-operators',
    path: ['allowUnauthenticatedOperators'],
  },
  { property: 'seeds', flag: '--seed', path: ['seeds'] },
  { property: 'stopGraceMs', flag: '--stop-grace-ms', path: ['stopGraceMs'] },
  { property: 'logLevel', flag: '--log-level', path: ['logLevel'] },
];

type Mapping = Record<string, unknown>;

function isMapping(value: unknown): value is Mapping {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function withValue(base: unknown, path: readonly string[], value: unknown): unknown {
  const [first, ...rest] = path;
  if (first === undefined) return value;
  const mapping = isMapping(base) ? base : {};
  return { ...mapping, [first]: withValue(mapping[first], rest, value) };
}

function flagValue(binding: FlagBinding, flags: SettingsFlags): unknown {
  const given = flags[binding.property];
  const isNumber = binding.property === 'stopGraceMs' && typeof given === 'string';
  return isNumber && /^\d+$/.test(given) ? Number(given) : given;
}

/** The file's content with the given flags laid over it. */
export function overlayFlags(content: unknown, flags: SettingsFlags): unknown {
  const given = FLAG_BINDINGS.filter((binding) => flags[binding.property] !== undefined);
  if (given.length > 0 && content !== undefined && !isMapping(content)) return content;
  // A fleet key named by a flag takes the place of whatever the file says of it.
  const givesFleetKey = given.some((binding) => binding.path[0] === 'fleetKey');
  const base = givesFleetKey && isMapping(content) ? { ...content, fleetKey: {} } : content;
  return given.reduce(
    (merged, binding) => withValue(merged, binding.path, flagValue(binding, flags)),
    base,
  );
}

/** The flag that gave the value at a path, or null when the file did. */
export function flagForPath(path: readonly PropertyKey[], flags: SettingsFlags): string | null {
  const binding = FLAG_BINDINGS.find(
    (candidate) =>
      flags[candidate.property] !== undefined &&
      candidate.path.every((segment, index) => path[index] === segment),
  );
  return binding?.flag ?? null;
}
