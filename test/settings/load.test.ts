import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allowsUnauthenticatedOperators,
  formatProblem,
  loadSettings,
  type SettingsFlags,
} from '../../src/shell/settings/index.js';

const VALID_SETTINGS = `name: d1
zone: leiden-a
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
  peers: 127.0.0.1:0
platform: 127.0.0.1:7000
fleetKey: { value: 0123456789abcdef }
`;

function load(text: string, flags: SettingsFlags = {}, environment = {}) {
  return loadSettings({ settings: 'd.yaml', ...flags }, () => text, environment);
}

function problems(text: string, flags: SettingsFlags = {}): string[] {
  return load(text, flags)._unsafeUnwrapErr().map(formatProblem);
}

test('a valid file gets all defaults', () => {
  const settings = load(VALID_SETTINGS)._unsafeUnwrap();
  assert.deepEqual(settings.listen.callers, { address: '127.0.0.1', port: 0 });
  assert.equal(settings.fleetKey, '0123456789abcdef');
  assert.equal(settings.limits.http.maxHeaderBytes, 16_384);
  assert.equal(settings.logLevel, 'info');
  assert.equal(allowsUnauthenticatedOperators(settings), true);
});

test('a misspelt key is reported with its line and a suggested name', () => {
  assert.deepEqual(problems(VALID_SETTINGS.replace('  peers:', '  peer:')), [
    'd.yaml:4: listen.peers: found nothing; write an IP number and a port, such as 127.0.0.1:8080 or "[::1]:8080"; host names are not looked up',
    'd.yaml:6: listen.peer: found a key that does not exist; remove it or write peers',
  ]);
});

test('a host name instead of an IP number is refused', () => {
  const [line] = problems(VALID_SETTINGS.replace('127.0.0.1:7000', 'store.example:7000'));
  assert.match(line ?? '', /^d\.yaml:7: platform: found "store\.example:7000"; write an IP number/);
});

test('a missing zone is reported', () => {
  const [line, ...others] = problems(VALID_SETTINGS.replace('zone: leiden-a\n', ''));
  assert.match(line ?? '', /^d\.yaml:1: zone: found nothing; write the zone/);
  assert.deepEqual(others, []);
});

test('all problems are reported together, without secrets', () => {
  const lines =
    problems(`${VALID_SETTINGS.replace('fleetKey: { value: 0123456789abcdef }', 'fleetKey: hush')}
operatorTokens: [{ name: ann, digest: plain-token, access: change }]
limits: { http: { maxBodyBytes: -1 } }`);
  assert.equal(lines.length, 3);
  assert.doesNotMatch(lines.join(), /hush|plain-token/);
  assert.match(lines.join('\n'), /limits\.http\.maxBodyBytes: found -1; write a whole number/);
});

test('flags override the file and are named in problems', () => {
  const flags = { listenCallers: '127.0.0.1:9000', stopGraceMs: '500' };
  const settings = load(VALID_SETTINGS, flags)._unsafeUnwrap();
  assert.equal(settings.listen.callers.port, 9000);
  assert.equal(settings.stopGraceMs, 500);
  assert.match(
    problems(VALID_SETTINGS, { zone: 'No Zone' })[0] ?? '',
    /^--zone: zone: found "No Zone"/,
  );
});

test('settings can come from flags only', () => {
  const address = '127.0.0.1:0';
  const flags: SettingsFlags = {
    name: 'd1',
    zone: 'z',
    listenCallers: address,
    listenOperators: address,
    listenPeers: address,
    platform: '127.0.0.1:7000',
    fleetKeyEnv: 'KEY',
  };
  const failOnRead = (): string => assert.fail('no file is read');
  const loaded = loadSettings(flags, failOnRead, { KEY: 'abcdefghijklmnop' });
  assert.equal(loaded._unsafeUnwrap().fleetKey, 'abcdefghijklmnop');
  const absent = loadSettings(flags, failOnRead, {})._unsafeUnwrapErr();
  assert.match(
    formatProblem(absent[0] ?? assert.fail()),
    /^--fleet-key-env: fleetKey\.env: found no fleet key/,
  );
});

test('an operator address other than loopback needs a token or allowUnauthenticatedOperators', () => {
  const openSettings = VALID_SETTINGS.replace('operators: 127.0.0.1:0', 'operators: 10.0.0.1:9001');
  assert.match(problems(openSettings)[0] ?? '', /^d\.yaml:5: listen\.operators: .*operatorTokens/);
  const allowed = load(`${openSettings}allowUnauthenticatedOperators: true\n`)._unsafeUnwrap();
  assert.equal(allowsUnauthenticatedOperators(allowed), true);
});

test('unreadable files and broken YAML are problems, not exceptions', () => {
  const missing = loadSettings({ settings: 'x.yaml' }, () => {
    throw new Error('ENOENT');
  })._unsafeUnwrapErr();
  assert.match(
    formatProblem(missing[0] ?? assert.fail()),
    /^x\.yaml: found no readable file \(ENOENT\)/,
  );
  assert.match(problems('name: [')[0] ?? '', /^d\.yaml:\d+: found YAML/);
  assert.match(problems(`${VALID_SETTINGS}name: d2\n`)[0] ?? '', /^d\.yaml:9: found YAML.*unique/);
  assert.match(problems('just text')[0] ?? '', /^d\.yaml:1: found "just text"/);
});

test('two listeners with the same address and port are refused', () => {
  const lines = problems(VALID_SETTINGS.replaceAll('127.0.0.1:0', '127.0.0.1:8080'));
  assert.deepEqual(lines, [
    'd.yaml:5: listen.operators: found 127.0.0.1:8080, which listen.callers has too; give each listener a port of its own',
    'd.yaml:6: listen.peers: found 127.0.0.1:8080, which listen.operators has too; give each listener a port of its own',
  ]);
});
