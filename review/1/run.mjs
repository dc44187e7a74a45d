/** Another writer puts an entry into the list of servers in which one byte of the address can't be read. */
import { MODEL } from '../stand-ins/configuration.mjs';
import { sleep } from '../stand-ins/platform.mjs';
import { generate, judgeEnds, renew, runCase, slip } from '../stand-ins/scenario.mjs';

const DAY_MS = 30_000;
const ENTRY_AT_MS = 6_000;
const ENTRY_FOR_MS = 10_000;
const NO_UTF8 = 0xff;

/** An entry like those of the other model servers, but for one byte. */
function strayEntry() {
  const address = '127.0.0.1:9';
  const entry = {
    service: MODEL,
    address,
    zone: 'a',
    version: 'v1',
    slots: 32,
    state: 'ready',
    coldRemainingMs: 0,
    stage: 'decode',
    models: [{ name: 'm', version: 1, adapters: [] }],
    sequence: 1,
  };
  const bytes = Buffer.from(JSON.stringify(entry));
  bytes[bytes.indexOf(address) + 1] = NO_UTF8;
  return bytes;
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, { gateways: 3, prefill: 2, decode: 4, web: 3 }, async (day, isTroubled) => {
  const endMs = performance.now() + DAY_MS;
  const traffic = [generate, renew, slip].map((make) => day.traffic(endMs, 20, make));
  await sleep(ENTRY_AT_MS);
  if (isTroubled) day.store.putBytes('servers', 'i-stray', strayEntry());
  day.record('entry put', { isTroubled });
  await sleep(ENTRY_FOR_MS);
  if (isTroubled) day.store.remove('servers', 'i-stray');
  day.record('entry removed', { isTroubled });
  await Promise.all(traffic);
  await Promise.all(day.pending);
  return judgeEnds(day);
});
