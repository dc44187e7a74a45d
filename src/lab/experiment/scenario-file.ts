/** Reads scenario files; each problem is reported with its file, line and remedy. */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import {
  describeFound,
  parseSettingsDocument,
  type SettingsDocument,
  type SettingsProblem,
} from '../../shell/settings/index.js';
import { type Fleet, loadFleet } from '../fleet/index.js';
import { type ScenarioDefinition, scenarioSchema } from './scenario.js';

/** A scenario with its fleet. */
export interface Scenario {
  readonly definition: ScenarioDefinition;
  readonly fleet: Fleet;
}

/** Reads a scenario and the fleet that it names. */
export function loadScenario(path: string): Result<Scenario, readonly SettingsProblem[]> {
  return readText(path).andThen((text) => parseScenario(path, text));
}

/** Reads a scenario from its text; `path` is the path of its file. */
export function parseScenario(
  path: string,
  text: string,
): Result<Scenario, readonly SettingsProblem[]> {
  return parseSettingsDocument(path, text)
    .andThen((document) => checkShape(path, document))
    .andThen(({ definition, document }) => withFleet(path, definition, document));
}

function readText(path: string): Result<string, readonly SettingsProblem[]> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const remedy = 'give the path of a scenario file that can be read';
    return err([
      { source: path, line: null, key: '', found: `no readable file (${reason})`, remedy },
    ]);
  }
}

interface CheckedScenario {
  readonly definition: ScenarioDefinition;
  readonly document: SettingsDocument;
}

function checkShape(
  path: string,
  document: SettingsDocument,
): Result<CheckedScenario, SettingsProblem[]> {
  const parsed = scenarioSchema.safeParse(document.content);
  if (parsed.success) return ok({ definition: parsed.data, document });
  return err(parsed.error.issues.flatMap((issue) => problemsOf(path, document, issue)));
}

function problemsOf(
  source: string,
  document: SettingsDocument,
  issue: z.core.$ZodIssue,
): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      source,
      line: document.lineOfKey(issue.path, key),
      key: [...issue.path, key].map(String).join('.'),
      found: 'a key that does not exist',
      remedy: 'remove it, or correct its spelling (docs/SCENARIOS.md lists the keys)',
    }));
  }
  const path = issue.code === 'invalid_union' ? deepestPath(issue) : issue.path;
  return [
    {
      source,
      line: document.lineOf(path),
      key: path.map(String).join('.'),
      found: describeFound(valueAt(document.content, path), false),
      remedy: messageOf(issue),
    },
  ];
}

/** Each variant of a union fails; the deepest failing path is taken as that of the intended variant. */
function deepestPath(issue: z.core.$ZodIssueInvalidUnion): readonly PropertyKey[] {
  const inner = issue.errors.flat().map((each) => each.path);
  const deepest = inner.reduce<readonly PropertyKey[]>(
    (best, path) => (path.length > best.length ? path : best),
    [],
  );
  return [...issue.path, ...deepest];
}

function messageOf(issue: z.core.$ZodIssue): string {
  if (issue.code !== 'invalid_union' || issue.errors.length === 0) return issue.message;
  const messages = issue.errors.flat().map((each) => each.message);
  return [...new Set(messages)].join('; or: ');
}

function withFleet(
  path: string,
  definition: ScenarioDefinition,
  document: SettingsDocument,
): Result<Scenario, SettingsProblem[]> {
  try {
    return ok({ definition, fleet: loadFleet(resolve(dirname(path), definition.fleet)) });
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err([
      {
        source: path,
        line: document.lineOf(['fleet']),
        key: 'fleet',
        found: `a fleet that can't be used (${reason})`,
        remedy: 'give the path of a fleet file, relative to this file',
      },
    ]);
  }
}

function valueAt(content: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' && value !== null ? Reflect.get(value, segment) : undefined,
    content,
  );
}
