/** `threadfork query`: asks what is where. */
import { Command, Option } from 'clipanion';
import { queryAnswerSchema } from '../answers.js';
import { EXIT_DONE } from '../exit-codes.js';
import { OperatorCommand } from '../operator-command.js';
import { formatTable } from '../text.js';

/** Sends a query and prints its rows. */
export class QueryCommand extends OperatorCommand {
  static override paths = [['query']];
  static override usage = Command.Usage({
    description: 'Ask what is running where.',
    details: `
      The tables are engines, models, daemons, leases, orders, config and changes;
      docs/LANGUAGE.md lists their fields and every form of a query.
    `,
    examples: [
      ['The engines of a zone', `$0 query 'engines where zone = "leiden-a"'`],
      ['The busiest engines', `$0 query 'engines order by running desc limit 5' --json`],
      ['What became of a change', `$0 query 'changes where id = "night-shift"'`],
    ],
  });

  text = Option.String({ name: 'query' });

  override run(): Promise<number> {
    const call = { method: 'POST', path: '/v1/query', body: { text: this.text } } as const;
    return this.callAndShow(call, queryAnswerSchema, (answer) => {
      if (this.json) {
        this.printJson(answer.rows);
      } else {
        this.print(formatTable(answer.fields, answer.rows, this.colored));
      }
      return EXIT_DONE;
    });
  }
}
