/** `threadfork trace`: why a request ended as it did, from the logs alone. */
import { createReadStream } from 'node:fs';
import { stat } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { Command, Option } from 'clipanion';
import { explainRequest, type LogLine, mayExplain } from '../../core/gateway/index.js';
import { BaseCommand } from '../base-command.js';
import { EXIT_DONE, EXIT_REFUSED } from '../exit-codes.js';
import { readLog } from '../log-reader.js';
import { formatTable, printable } from '../text.js';

const OWN_FIELDS = ['ms', 'daemon', 'event', 'message', 'server', 'detail'];
const STANDARD_INPUT = '-';
/** Fields that have a column of their own or say nothing of the cause. */
const SHOWN_APART: ReadonlySet<string> = new Set(['level', 'request', 'server', 'msg']);

/** Explains one request from the log lines of gateways. */
export class TraceCommand extends BaseCommand {
  static override paths = [['trace']];
  static override usage = Command.Usage({
    description: 'Explain how a request ended, from the logs of gateways.',
    details: `
      Reads JSON lines from files, or from standard input when none is named, and prints the cause
      in words, the request's own lines, and what else happened to the servers it met. Give the
      logs of all machines of that time: other daemons saw the same servers.
    `,
    examples: [
      ['From the logs of all machines', '$0 trace 30810d6088c643ac front-*.log'],
      ['From a collector', 'collector | $0 trace 30810d6088c643ac'],
    ],
  });

  id = Option.String({ name: 'id' });
  files = Option.Rest({ name: 'file' });

  override async run(): Promise<number> {
    const isWanted = (line: LogLine) => mayExplain(line, this.id);
    const lines: LogLine[] = [];
    for (const file of this.files.length === 0 ? [STANDARD_INPUT] : this.files) {
      if (file !== STANDARD_INPUT && !(await isFile(file))) {
        return this.reportUsageError(`there is no file "${file}"; name the logs of the gateways`);
      }
      for (const line of await readLog(this.#open(file), file, isWanted)) lines.push(line);
    }
    const explanation = explainRequest(lines, this.id);
    if (this.json) {
      this.printJson(explanation);
    } else {
      this.print(explanation.sentences.map((sentence) => `${printable(sentence)}\n`).join(''));
      this.#printLines('Its lines', explanation.ownLines);
      this.#printLines('At that time', explanation.context);
    }
    return explanation.isFound ? EXIT_DONE : EXIT_REFUSED;
  }

  #open(file: string): Readable {
    if (file !== STANDARD_INPUT) return createReadStream(file);
    return this.context.stdin;
  }

  #printLines(title: string, lines: readonly LogLine[]): void {
    const firstMs = lines[0]?.timeMs;
    if (firstMs === undefined) return;
    const rows = lines.map((line) => ({
      ms: Math.round(line.timeMs - firstMs),
      daemon: line.source,
      event: line.event,
      message: line.message,
      server: String(line.fields.server ?? ''),
      detail: detailOf(line),
    }));
    this.print(`\n${title}\n${formatTable(OWN_FIELDS, rows, this.colored)}`);
  }
}

function detailOf({ fields }: LogLine): string {
  const shown = Object.entries(fields).filter(
    ([key, value]) => !SHOWN_APART.has(key) && value !== '' && value !== null,
  );
  return shown.map(([key, value]) => `${key}=${value}`).join(' ');
}

async function isFile(path: string): Promise<boolean> {
  return stat(path).then(
    (found) => found.isFile(),
    () => false,
  );
}
