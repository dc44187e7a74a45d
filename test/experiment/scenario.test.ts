/** Scenario files: those of the package run without faults, and bad ones are reported with their line. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { Cli } from 'clipanion';
import { EXIT_USAGE } from '../../src/lab/commands/exit-codes.js';
import { RunCommand } from '../../src/lab/commands/run-command.js';
import {
  type ExperimentOptions,
  loadScenario,
  parseScenario,
  policyNamed,
  runExperiment,
} from '../../src/lab/experiment/index.js';
import { formatProblem } from '../../src/shell/settings/index.js';

const FOLDER = 'examples/scenarios/';
/** The duration in seconds to which each scenario is shortened. */
const SHORT_RUN_S = 6;

const names = readdirSync(FOLDER).filter((name) => name.endsWith('.yaml'));
/** Options that run a scenario with all its phases shortened proportionally. */
function shortRun(name: string, seed: number): ExperimentOptions {
  const scenario = loadScenario(FOLDER + name)._unsafeUnwrap();
  const { phases } = scenario.definition.workload;
  const seconds = phases.reduce((sum, { durationMs }) => sum + durationMs, 0) / 1_000;
  const policy = policyNamed('planner', scenario);
  assert.ok(policy !== null);
  return { scenario, policy, seed, stretch: SHORT_RUN_S / seconds };
}

for (const name of names) {
  test(`${name}, shortened, runs without wrong, cut or unknown answers and without violations`, () => {
    const { wrong, cut, unknown, violations, ...result } = runExperiment(shortRun(name, 3));
    const clean = { wrong: 0, cut: 0, unknown: 0, violations: [] };
    assert.deepEqual({ wrong, cut, unknown, violations }, clean);
    assert.ok(result.finished > 0);
    assert.equal(result.finished + result.refused, result.sent);
  });
}

test('runs with equal seeds are byte-identical and differ for another seed', () => {
  const bytes = (seed: number): string =>
    JSON.stringify(runExperiment(shortRun('noise-only.yaml', seed)));
  const first = bytes(5);
  assert.equal(bytes(5), first);
  assert.notEqual(bytes(6), first);
});

test('an unusable scenario ends the command with exit code 2', async () => {
  const cli = new Cli();
  cli.register(RunCommand);
  const stderr = new PassThrough();
  const code = await cli.run(['run', '--scenario', 'no-such-scenario'], { stderr });
  assert.equal(code, EXIT_USAGE);
  assert.match(String(stderr.read()), /no-such-scenario: found no readable file.*; give the path/);
});

const GOOD = readFileSync(`${FOLDER}${names[0]}`, 'utf8');

function problemsOf(text: string): string[] {
  return parseScenario(`${FOLDER}bad.yaml`, text).match(
    () => [],
    (problems) => problems.map(formatProblem),
  );
}

function lineOf(text: string, part: string): number {
  return text.slice(0, text.indexOf(part)).split('\n').length;
}

test('an unknown key is reported with its line and remedy', () => {
  const text = `${GOOD}\nspeling: 1\n`;
  const line = lineOf(text, 'speling');
  assert.deepEqual(problemsOf(text), [
    `${FOLDER}bad.yaml:${line}: speling: found a key that does not exist; remove it, or correct its spelling (docs/SCENARIOS.md lists the keys)`,
  ]);
});

test('a negative rate is reported with its line, both as a constant and as the end of a ramp', () => {
  for (const rate of ['-4', '{ from: 1, to: -4 }']) {
    const phase = `    - { name: bad, durationMs: 1000, rates: { question: ${rate} } }`;
    const text = `${GOOD.trimEnd()}\n${phase}\n`;
    const [problem = '', ...others] = problemsOf(text);
    assert.deepEqual(others, []);
    assert.ok(
      problem?.startsWith(`${FOLDER}bad.yaml:${lineOf(text, 'name: bad')}: workload.phases.`),
    );
    assert.match(problem, /rates\.question.*: found -4; .*write 0 or more requests a second/);
  }
});

test('a web source and a missing fleet file are refused', () => {
  const web = GOOD.replace(
    '    - kind: model',
    '    - kind: web-order\n      name: slips\n      path: /orders/\n    - kind: model',
  );
  assert.match(problemsOf(web).join(), /sources\.0\.kind: found "web-order"; write model/);
  const [missing] = problemsOf(GOOD.replace(/^fleet: .*$/m, 'fleet: none.yaml'));
  assert.match(missing ?? '', /bad\.yaml:\d+: fleet: found a fleet that can't be used/);
});
