/**
 * The keys that a settings file may hold, read off the schema itself.
 */
import { z } from 'zod';
import { settingsSchema } from './schema.js';

/** One key of the settings file. */
export interface SettingsKey {
  /** Dotted, with `[]` for the members of a list: `limits.http.maxBodyBytes`. */
  readonly key: string;
  readonly description: string;
  /** As JSON; null where the key has no default. */
  readonly defaultValue: string | null;
  readonly isRequired: boolean;
}

interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly required?: readonly string[];
  readonly description?: string;
  readonly default?: unknown;
}

function schemaTree(): SchemaNode {
  return z.toJSONSchema(settingsSchema, { io: 'input' }) as SchemaNode;
}

/** All keys that hold a value, in the order of the schema. */
export function settingsKeys(): readonly SettingsKey[] {
  return keysUnder(schemaTree(), '');
}

function keysUnder(node: SchemaNode, prefix: string): readonly SettingsKey[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const key = prefix + name;
    const isRequired = node.required?.includes(name) ?? false;
    return [...ownKey(key, child, isRequired), ...childKeys(key, child)];
  });
}

function ownKey(key: string, node: SchemaNode, isRequired: boolean): readonly SettingsKey[] {
  if (node.description === undefined) return [];
  const defaultValue = node.default === undefined ? null : JSON.stringify(node.default);
  return [{ key, description: node.description, defaultValue, isRequired }];
}

function childKeys(key: string, node: SchemaNode): readonly SettingsKey[] {
  if (node.items !== undefined) return keysUnder(node.items, `${key}[].`);
  return keysUnder(node, `${key}.`);
}

/** The names that may stand in the mapping at a path; empty where there is no mapping. */
export function keyNamesAt(path: readonly PropertyKey[]): readonly string[] {
  const node = path.reduce<SchemaNode | undefined>(
    (parent, segment) =>
      typeof segment === 'number' ? parent?.items : parent?.properties?.[String(segment)],
    schemaTree(),
  );
  return Object.keys(node?.properties ?? {});
}
