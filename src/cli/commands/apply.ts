/** `threadfork apply`: changes the configuration, or says why not. */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import { parse as parseYaml } from 'yaml';
import type { ChangeOutcome } from '../../core/configuration/change-outcome.js';
import { readChangeOutcome } from '../change-outcome.js';
import { readTextFile } from '../daemon-options.js';
import { EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN } from '../exit-codes.js';
import { OperatorCommand } from '../operator-command.js';
import { printable } from '../text.js';

type ChangeBody = { readonly text: string } | { readonly document: unknown };

/** Sends a change under an id and tells its outcome. */
export class ApplyCommand extends OperatorCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'Change the configuration.',
    details: `
      Takes commands of the operator language, or a whole configuration as a YAML document. A change
      takes effect as stated or is refused; where its answer is lost it ends as unknown, with an id
      that settles it. The same id twice takes effect once.
    `,
    examples: [
      ['Roll a model to a new version', `$0 apply 'roll model labels to 2024.2'`],
      [
        'Several commands, whole or not at all',
        `$0 apply 'begin; drain viewer-1; drain viewer-2; commit'`,
      ],
      ['Only if nobody was faster', `$0 apply 'drain viewer-1' --if-version 12`],
      ['Try a whole configuration', '$0 apply --file fleet.yaml --dry-run'],
    ],
  });

  text = Option.String({ name: 'commands', required: false });
  file = Option.String('--file', {
    description: 'a YAML document (.yaml, .yml, .json) or a file of statements',
  });
  id = Option.String('--id', { description: 'id of the change; a repeat takes effect once' });
  ifVersion = Option.String('--if-version', { description: 'refuse unless this is in force' });
  dryRun = Option.Boolean('--dry-run', false, { description: 'say what would change' });

  override async run(): Promise<number> {
    const id = this.id ?? randomUUID();
    const body = this.readBody();
    if (body.isErr()) {
      return this.reportUsageError(body.error);
    }
    if (this.ifVersion !== undefined && !/^\d{1,15}$/.test(this.ifVersion)) {
      return this.reportUsageError(`the version "${this.ifVersion}" is not a whole number`);
    }
    const outcome = await this.call({
      method: 'POST',
      path: '/v1/commands',
      body: {
        ...body.value,
        id,
        dryRun: this.dryRun,
        ...(this.ifVersion === undefined ? {} : { ifVersion: Number(this.ifVersion) }),
      },
    });
    if (outcome.isErr()) {
      return this.reportUsageError(outcome.error);
    }
    const { value } = outcome;
    const nothingSent = value.kind === 'no-answer' && !value.maybeSent;
    return nothingSent ? this.reportUnreachable(value) : this.tell(readChangeOutcome(id, value));
  }

  private readBody(): Result<ChangeBody, string> {
    if ((this.text === undefined) === (this.file === undefined)) {
      return err('give either commands or --file, see threadfork apply --help');
    }
    if (this.file === undefined) {
      return ok({ text: this.text ?? '' });
    }
    const { file } = this;
    return readTextFile(file).andThen((text) =>
      /\.(ya?ml|json)$/i.test(file) ? readDocument(file, text) : ok({ text }),
    );
  }

  private tell(outcome: ChangeOutcome): number {
    if (this.json) {
      this.printJson(outcome);
    }
    const { id } = outcome;
    switch (outcome.kind) {
      case 'applied':
        this.say(
          `applied: change ${id} is in force as version ${outcome.version} on ${outcome.inForce} daemon(s)`,
        );
        return EXIT_DONE;
      case 'dry-run':
        this.say(`dry run against version ${outcome.version}, nothing was changed:`);
        this.say(outcome.description.map((line) => `  ${printable(line)}`).join('\n'));
        return EXIT_DONE;
      case 'refused':
        this.printError(
          `refused: ${printable(outcome.fault.message)}${inForce(outcome.currentVersion)}`,
        );
        return EXIT_REFUSED;
      case 'unknown':
        this.printError(`unknown: ${printable(outcome.message)}${waitingFor(outcome.waitingFor)}`);
        this.printError(`  settle it with: threadfork query 'changes where id = "${id}"'`);
        this.printError(`  or repeat it with --id ${id}; it takes effect once`);
        return EXIT_UNKNOWN;
    }
  }

  private say(text: string): void {
    if (!this.json) {
      this.print(`${text}\n`);
    }
  }
}

function readDocument(file: string, text: string): Result<ChangeBody, string> {
  try {
    return ok({ document: parseYaml(text) });
  } catch (error) {
    const [reason] = String(error instanceof Error ? error.message : error).split('\n');
    return err(`the file "${file}" is not YAML (${reason}); correct it`);
  }
}

function inForce(version: number | null): string {
  return version === null ? '' : ` (version ${version} is in force)`;
}

function waitingFor(daemons: readonly string[]): string {
  return daemons.length === 0 ? '' : ` Waiting for ${daemons.map(printable).join(', ')}.`;
}
