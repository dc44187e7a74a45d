/** `threadfork explain`: why something is as it is. */
import { Command, Option } from 'clipanion';
import { EXPLAIN_SUBJECTS } from '../../shell/operator/index.js';
import { explanationSchema } from '../answers.js';
import { EXIT_DONE } from '../exit-codes.js';
import { OperatorCommand } from '../operator-command.js';
import { fieldsOf, formatTable, printable } from '../text.js';

/** Asks a daemon to explain a request, an engine or the configuration. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain a request, an engine or the configuration.',
    details: `
      For a request: the candidates and their scores. For an engine: the order and lease behind its
      role. For the configuration: its version and where it is in force. A request is known to the
      daemon that took it, for a while.
    `,
    examples: [
      ['Why a request went where it did', '$0 explain request leiden-a-1-17-204'],
      ['Why an engine has its role', '$0 explain engine label-3'],
      ['Where the configuration is in force', '$0 explain config'],
    ],
  });

  subject = Option.String({ name: 'request|engine|config' });
  id = Option.String({ name: 'id', required: false });

  override async run(): Promise<number> {
    if (!EXPLAIN_SUBJECTS.some((subject) => subject === this.subject)) {
      return this.reportUsageError(
        `"${this.subject}" can't be explained; name request, engine or config`,
      );
    }
    if (this.id === undefined && this.subject !== 'config') {
      return this.reportUsageError(
        `name the ${this.subject} to explain, see threadfork explain --help`,
      );
    }
    const body = { subject: this.subject, ...(this.id === undefined ? {} : { id: this.id }) };
    const call = { method: 'POST', path: '/v1/explain', body } as const;
    return this.callAndShow(call, explanationSchema, (explanation) => {
      if (this.json) {
        this.printJson(explanation);
        return EXIT_DONE;
      }
      this.print(explanation.sentences.map((sentence) => `${printable(sentence)}\n`).join(''));
      for (const { title, rows } of explanation.tables) {
        this.print(`\n${printable(title)}\n${formatTable(fieldsOf(rows), rows, this.colored)}`);
      }
      return EXIT_DONE;
    });
  }
}
