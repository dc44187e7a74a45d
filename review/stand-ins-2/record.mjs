/** Writes down what was sent, answered and run, and ends a case. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** A case runs for 120 seconds at most. */
const MAX_RUN_MS = 110_000;

export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** The record of one run of a case. */
export class Record {
  #lines = [];
  #path;
  #startMs = performance.now();

  constructor(folder) {
    this.#path = join(folder, 'record.txt');
  }

  add(text) {
    const atS = ((performance.now() - this.#startMs) / 1000).toFixed(3);
    this.#lines.push(`${atS} ${text}`);
  }

  write() {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}

/** Plays a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export async function play(folder, run) {
  const record = new Record(folder);
  const directory = mkdtempSync(join(tmpdir(), 'threadfork-review-'));
  const closers = [];
  let code = EXIT.notRun;
  const close = async () => {
    for (const end of closers.splice(0).reverse()) await end();
    record.add(`exit ${code}`);
    record.write();
    if (process.env.KEEP_LOGS === undefined) rmSync(directory, { recursive: true, force: true });
    else console.log(directory);
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, close);
  process.once('uncaughtException', (error) => {
    record.add(`could not run: ${error?.stack ?? error}`);
    close();
  });
  const giveUp = setTimeout(() => {
    record.add('could not run: it takes too long');
    close();
  }, MAX_RUN_MS);
  try {
    const hasTrouble = process.env.TROUBLE !== '0';
    record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
    code = await run({ record, directory, hasTrouble, onEnd: (close) => closers.push(close) });
  } catch (error) {
    record.add(`could not run: ${error?.stack ?? error}`);
  }
  clearTimeout(giveUp);
  await close();
}
