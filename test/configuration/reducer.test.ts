import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationState,
  createConfiguration,
  stepConfiguration,
} from '../../src/core/configuration/index.js';
import { CONFIGURATION_EVENTS } from '../../src/core/logging/catalogue/configuration.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { createMembership } from '../../src/core/membership/index.js';
import { contentHash } from '../../src/core/peer/index.js';
import type { TableResult, TableRow } from '../../src/core/platform/table.js';
import { VersionedTable } from '../../src/lab/platform/index.js';
import { setModel } from './support.js';

const IDENTITY = { name: 'a', zone: 'z', endpoint: { address: '10.0.0.1', port: 1 } };
const DOCUMENT = {
  models: {},
  classes: {},
  tenants: {},
  routes: [],
  backends: {},
  anonymousTenant: null,
};

/** One daemon's configuration reducer, stepped manually. */
class Configuration {
  state: ConfigurationState = createConfiguration(IDENTITY);
  effects: readonly ConfigurationEffect[] = [];
  private readonly membership = createMembership({ ...IDENTITY, incarnation: 1 });
  private now = 0;

  step(event: ConfigurationEvent): void {
    this.now += 100;
    const context = { now: this.now, entropy: 1 };
    const { state, effects } = stepConfiguration(this.state, event, context, this.membership);
    this.state = state;
    this.effects = effects;
  }

  receiveContent(version: number, highestVersion: number, hash?: string): void {
    const header = {
      sender: 'b',
      incarnation: 1,
      sentAt: 0,
      inForce: version,
      highestVersion,
    };
    const message = {
      kind: 'configuration-content' as const,
      version,
      hash: hash ?? contentHash(JSON.stringify(DOCUMENT)),
      document: DOCUMENT,
    };
    this.step({ kind: 'peer-received', from: IDENTITY.endpoint, header, message });
  }

  /** Ticks until the store is read for the wanted key, and answers the call. */
  answerTable(
    answer: (keys: readonly string[]) => readonly TableRow[],
    wantedKey = 'configuration/current',
  ): void {
    for (let ticks = 0; ticks < 1_000; ticks += 1) {
      const call = this.effects.find((effect) => effect.kind === 'table');
      if (call?.call.kind === 'get' && call.call.keys.includes(wantedKey)) {
        const result = { kind: 'rows', rows: answer(call.call.keys) } as const;
        this.step({ kind: 'table-result', token: call.token, result });
        return;
      }
      this.step({ kind: 'tick' });
    }
    assert.fail('the store was never read');
  }

  get version(): number | undefined {
    return this.state.inForce?.version;
  }

  hasLogged(event: LogEvent): boolean {
    return this.effects.some((effect) => effect.kind === 'log' && effect.event === event);
  }
}

function currentRow(version: number): TableRow {
  return { key: 'configuration/current', version, value: { version, document: DOCUMENT } };
}

test('a lower version is accepted neither from a daemon nor from the store', () => {
  const configuration = new Configuration();
  configuration.receiveContent(5, 5);
  configuration.receiveContent(3, 3);
  assert.equal(configuration.version, 5);
  configuration.answerTable(() => [currentRow(4)]);
  assert.equal(configuration.version, 5);
  assert.ok(configuration.hasLogged(CONFIGURATION_EVENTS.storeIsBehind));
  configuration.answerTable(() => [currentRow(6)]);
  assert.equal(configuration.version, 6);
});

test('a starting daemon is not ready while it knows of a version higher than the one in force', () => {
  const configuration = new Configuration();
  configuration.receiveContent(5, 7);
  assert.equal(configuration.version, 5);
  assert.equal(configuration.state.ready, false);
  configuration.receiveContent(7, 7);
  assert.equal(configuration.state.ready, true);
  configuration.receiveContent(7, 8);
  assert.equal(configuration.state.ready, true, 'a daemon that was ready stays ready');
});

test('content that does not match its hash and a row with an invalid document are rejected', () => {
  const configuration = new Configuration();
  configuration.receiveContent(5, 5, 'wrong');
  assert.equal(configuration.version, undefined);
  assert.ok(configuration.hasLogged(CONFIGURATION_EVENTS.unusable));
  const row = { ...currentRow(9), value: { version: 9, document: { models: 3 } } };
  configuration.answerTable(() => [row]);
  assert.equal(configuration.version, undefined);
  assert.ok(configuration.hasLogged(CONFIGURATION_EVENTS.unusable));
  assert.equal(configuration.state.ready, false);
});

test('a repeated change that read the rows at different times does not take effect again', () => {
  const table = new VersionedTable();
  const record = { version: 1, digest: 'labels v1', description: [] };
  table.transact(
    [],
    [
      { key: 'configuration/current', value: currentRow(1).value },
      { key: 'change/c1', value: record },
    ],
  );
  const configuration = new Configuration();
  configuration.step({ kind: 'change', request: setModel('c1', 'labels', 'v1') });
  configuration.answerTable((keys) => {
    const [current] = table.get(keys);
    const absent = { key: 'change/c1', version: 0, value: null };
    return current === undefined ? [] : [current, absent];
  });
  const commit = configuration.effects.find((effect) => effect.kind === 'table');
  assert.ok(commit?.call.kind === 'transact');
  const outcome = table.transact(commit.call.checks, commit.call.writes);
  assert.equal(outcome.committed, false);
  const result = { kind: 'conflict', rows: outcome.rows } as const;
  configuration.step({ kind: 'table-result', token: commit.token, result });
  configuration.answerTable((keys) => table.get(keys), 'change/c1');
  assert.equal(table.get(['configuration/current'])[0]?.version, 1);
  assert.equal(configuration.state.changes.get('c1')?.phase.kind, 'confirming');
});

test('after a lost commit answer, refusals by the store do not lead to the answer refused-not-run', () => {
  const configuration = new Configuration();
  const absent = (keys: readonly string[]) => keys.map((key) => ({ key, version: 0, value: null }));
  const answers = () =>
    configuration.effects.flatMap((effect) =>
      effect.kind === 'change-answer' ? [effect.outcome] : [],
    );
  const answerCommit = (result: TableResult) => {
    const commit = configuration.effects.find((effect) => effect.kind === 'table');
    assert.equal(commit?.call.kind, 'transact');
    configuration.step({ kind: 'table-result', token: commit?.token ?? '', result });
  };
  configuration.step({ kind: 'change', request: setModel('c1', 'labels', 'v1') });
  configuration.answerTable(absent, 'change/c1');
  answerCommit({ kind: 'lost', reason: 'broken connection' });
  configuration.answerTable(absent, 'change/c1');
  answerCommit({ kind: 'unavailable', reason: 'over the rate', retryAfterMs: 60_000 });
  assert.deepEqual(answers(), []);
  for (let ticks = 0; ticks < 200 && answers().length === 0; ticks += 1) {
    configuration.step({ kind: 'tick' });
  }
  const [outcome] = answers();
  assert.ok(outcome?.kind === 'unknown' && outcome.recordedVersion === null);
});
