import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { z } from 'zod';
import { configurationSchema } from '../../src/core/configuration/document.js';
import { CATALOGUE } from '../../src/core/logging/catalogue/index.js';
import { createMetrics } from '../../src/shell/metrics/index.js';

const PAGE = readFileSync(new URL('../../../docs/OPERATING.md', import.meta.url), 'utf8');

interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly additionalProperties?: SchemaNode | boolean;
  readonly items?: SchemaNode;
}

/** Paths of the keys that hold a value; `*` stands for any name and `[]` for the members of a list. */
function leafKeys(node: SchemaNode, prefix: string): readonly string[] {
  if (node.properties !== undefined) {
    const separator = prefix === '' ? '' : '.';
    return Object.entries(node.properties).flatMap(([name, child]) =>
      leafKeys(child, prefix + separator + name),
    );
  }
  const named = node.additionalProperties;
  if (typeof named === 'object') return leafKeys(named, `${prefix}.*`);
  if (node.items?.properties !== undefined) return leafKeys(node.items, `${prefix}[]`);
  return [prefix];
}

test('docs/OPERATING.md explains every key of the configuration', () => {
  const keys = leafKeys(z.toJSONSchema(configurationSchema) as SchemaNode, '');
  assert.ok(keys.includes('tenants.*.weight'));
  const unexplained = keys.filter((key) => !PAGE.includes(`| \`${key}\``));
  assert.deepEqual(unexplained, []);
});

test('the metrics and events that docs/OPERATING.md names exist', async () => {
  const text = await createMetrics({ sample: () => null }).text();
  const metrics = [...PAGE.matchAll(/`(threadfork_[a-z_]+)/g)].map((match) => match[1] ?? '');
  assert.ok(metrics.length > 10);
  assert.deepEqual(
    metrics.filter((name) => !text.includes(`# TYPE ${name} `)),
    [],
  );
  const numbers = CATALOGUE.flatMap((area) => Object.values(area.events)).map(
    ({ number }) => number,
  );
  const cited = [...PAGE.matchAll(/[( ](\d{4})(?=[,)])/g)].map((match) => Number(match[1]));
  assert.ok(cited.length > 10);
  assert.deepEqual(
    cited.filter((number) => !numbers.includes(number)),
    [],
  );
});
