/**
 * Guards against hindrances that hinder no start: a port that is not really taken, and a spoiled settings file that can be
 * taken for a whole one.
 */
import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { AddressBlock } from '../../soak/address-block.js';
import { boundsOf } from '../../soak/configuration.js';
import { takePort } from '../../soak/port-holder.js';
import { SettingsFile } from '../../soak/settings-file.js';
import { ALL_PORTS } from '../../soak/start-fault.js';
import { parseGatewaySettings } from '../../src/shell/gateway/index.js';

const KEPT_SHARES = Array.from({ length: 91 }, (_, index) => index / 100);

for (const port of ALL_PORTS) {
  test(`the port ${port} is in use until it is released`, async (context) => {
    const addresses = await AddressBlock.claim();
    context.after(() => addresses.release());
    const host = addresses.addressOf(0, 0);
    const taken = await takePort(host, port);
    assert.ok(taken);
    assert.equal(await takePort(host, port), undefined);
    await taken.release();
    const again = await takePort(host, port);
    assert.ok(again);
    await again.release();
  });
}

test('a daemon cannot start with settings that are spoiled, and can with whole ones', (context) => {
  const directory = mkdtempSync(join(tmpdir(), 'settings-file-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const file = new SettingsFile(join(directory, 'daemon-a-0.yaml'), {
    name: 'daemon-a-0',
    zone: 'a',
    host: '127.0.0.1',
    storePort: 2_001,
    dutyPort: 2_002,
    bounds: boundsOf(6),
    machine: undefined,
  });
  const isValid = () => parseGatewaySettings(readFileSync(file.path, 'utf8')).isOk();
  assert.ok(isValid());
  for (const share of KEPT_SHARES) {
    file.spoil('cut', share);
    assert.ok(!isValid(), `valid with ${share} of the text`);
  }
  file.spoil('empty', 0);
  assert.ok(!isValid());
  file.spoil('missing', 0);
  assert.ok(!existsSync(file.path));
  file.write();
  assert.ok(isValid());
});
