/** `threadfork config`: checks a configuration file, shows the configuration in force. */
import { Command, Option } from 'clipanion';
import { parse as parseYaml, stringify as stringifyYaml } from 'yaml';
import type { ConfigurationDocument } from '../../core/configuration/document.js';
import { parseDocument } from '../../core/configuration/validate.js';
import { refusedNotRun } from '../../core/errors/fault.js';
import { formatDocumentAsCommands, MAX_STATEMENT_CHARACTERS } from '../../core/language/index.js';
import { configurationAnswerSchema } from '../answers.js';
import { BaseCommand } from '../base-command.js';
import { readTextFile } from '../daemon-options.js';
import { EXIT_DONE } from '../exit-codes.js';
import { OperatorCommand } from '../operator-command.js';

/** Checks a file without asking any daemon. */
export class ConfigCheckCommand extends BaseCommand {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    description: 'Check a configuration file whole, without a daemon.',
    examples: [['Check before applying', '$0 config check fleet.yaml']],
  });

  file = Option.String({ name: 'file' });

  override async run(): Promise<number> {
    const text = readTextFile(this.file);
    if (text.isErr()) {
      return this.reportUsageError(text.error);
    }
    const document = readYaml(text.value);
    if (document.kind === 'broken') {
      const message = `The file "${this.file}" is not YAML (${document.reason}). Correct it.`;
      return this.reportFault(refusedNotRun('invalid-command', message));
    }
    const checked = parseDocument(document.value);
    if (checked.isErr()) {
      return this.reportFault(checked.error);
    }
    if (this.json) {
      this.printJson(checked.value);
    } else {
      this.print(`${this.file}: the configuration is valid\n`);
    }
    return EXIT_DONE;
  }
}

type YamlText =
  | { readonly kind: 'read'; readonly value: unknown }
  | { readonly kind: 'broken'; readonly reason: string };

function readYaml(text: string): YamlText {
  try {
    return { kind: 'read', value: parseYaml(text) };
  } catch (error) {
    const [reason = ''] = String(error instanceof Error ? error.message : error).split('\n');
    return { kind: 'broken', reason };
  }
}

/** Shows the configuration in force on the daemon that answers. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];
  static override usage = Command.Usage({
    description: 'Show the configuration in force on a daemon.',
    details:
      'Prints YAML that apply --file takes, or with --commands the commands that rebuild it.',
    examples: [
      ['Keep a copy', '$0 config show > fleet.yaml'],
      ['As commands', '$0 config show --commands'],
    ],
  });

  commands = Option.Boolean('--commands', false, { description: 'print commands, not YAML' });

  override run(): Promise<number> {
    const call = { method: 'GET', path: '/v1/configuration' } as const;
    return this.callAndShow(call, configurationAnswerSchema, ({ version, document }) => {
      if (this.json) {
        this.printJson({ version, document });
        return EXIT_DONE;
      }
      const heading = `# version ${version}\n`;
      if (!this.commands) {
        this.print(heading + stringifyYaml(document));
        return EXIT_DONE;
      }
      return parseDocument(document).match(
        (checked) => {
          this.print(heading + commandsText(checked));
          return EXIT_DONE;
        },
        (fault) => this.reportFault(fault),
      );
    });
  }
}

/** The commands, with a word of warning where no daemon would take them in one statement. */
function commandsText(document: ConfigurationDocument): string {
  const text = formatDocumentAsCommands(document);
  const warning = `# over ${MAX_STATEMENT_CHARACTERS} characters: apply it as YAML instead\n`;
  return text.length > MAX_STATEMENT_CHARACTERS ? warning + text : text;
}
