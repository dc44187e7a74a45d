/** `threadfork complete`: one completion request, as a caller sends it. */
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import { parseDuration } from '../../core/language/index.js';
import { BaseCommand } from '../base-command.js';
import {
  type CompletionOutcome,
  type CompletionRequest,
  sendCompletion,
} from '../completion-client.js';
import { readAddresses, readSecret } from '../daemon-options.js';
import { EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN } from '../exit-codes.js';
import { printable } from '../text.js';

const DEFAULT_DEADLINE = '60s';
/** How much longer than the deadline the command waits for the daemon's own final answer. */
const TIMEOUT_MARGIN_MS = 5_000;

/** Sends a prompt and prints the answer, as it comes with `--stream`. */
export class CompleteCommand extends BaseCommand {
  static override paths = [['complete']];
  static override usage = Command.Usage({
    description: 'Send one completion request as a caller does.',
    details: `
      --daemon names the address for callers, not that for operators. The request goes to another
      daemon only where none can have got it.
    `,
    examples: [
      ['A whole answer', `$0 complete --model labels --prompt 'Leg. J. Smit, Oegstgeest 1904'`],
      ['As it is written', `$0 complete --model labels --prompt 'Det.' --stream`],
      [
        'At most once',
        `$0 complete --model renewals --prompt 'Renew 17' --not-repeatable --idempotency-key r17`,
      ],
    ],
  });

  daemons = Option.Array('--daemon', [], {
    description: 'IP:PORT of a daemon for callers; repeat it for others to try',
  });
  model = Option.String('--model', { required: true, description: 'a model or an adapter' });
  prompt = Option.String('--prompt', { required: true, description: 'the prompt' });
  maxTokens = Option.String('--max-tokens', '256', { description: 'the most output tokens' });
  stream = Option.Boolean('--stream', false, { description: 'print the answer as it comes' });
  className = Option.String('--class', { description: 'the class of work' });
  deadline = Option.String('--deadline', { description: 'such as 30s; else the class states it' });
  notRepeatable = Option.Boolean('--not-repeatable', false, { description: 'run at most once' });
  idempotencyKey = Option.String('--idempotency-key', {
    description: 'a repeat under this key gets the first outcome',
  });
  key = Option.String('--key', { description: 'API key; better THREADFORK_KEY' });
  keyFile = Option.String('--key-file', { description: 'file that holds the API key' });

  override async run(): Promise<number> {
    const completion = this.readRequest();
    if (completion.isErr()) {
      return this.reportUsageError(completion.error);
    }
    const outcome = await sendCompletion(completion.value, (text) => this.show(text));
    return this.tell(outcome);
  }

  private show(text: string): void {
    if (!this.json) {
      this.print(text.replace(/[^\P{Cc}\n\t]/gu, '?'));
    }
  }

  private tell(outcome: CompletionOutcome): number {
    if (this.json) {
      this.printJson(outcome);
    } else if (outcome.kind === 'answered') {
      this.print('\n');
    }
    switch (outcome.kind) {
      case 'answered':
        return EXIT_DONE;
      case 'refused':
        this.printError(`refused: ${printable(outcome.message)}`);
        return EXIT_REFUSED;
      case 'unknown':
        this.printError(`unknown: ${printable(outcome.message)}`);
        return EXIT_UNKNOWN;
      case 'unreachable':
        this.printError(`unreachable: ${outcome.reasons.map(printable).join('; ')}`);
        return EXIT_UNKNOWN;
    }
  }

  private readRequest(): Result<CompletionRequest, string> {
    const { env } = this.context;
    const deadlineMs = parseDuration(this.deadline ?? DEFAULT_DEADLINE);
    if (deadlineMs === null) {
      return err(`the deadline "${this.deadline}" is not a duration; write for example 30s`);
    }
    if (!/^[1-9]\d{0,6}$/.test(this.maxTokens)) {
      return err(`--max-tokens "${this.maxTokens}" is not a whole number from 1 to 9999999`);
    }
    const key = readSecret({
      value: this.key,
      file: this.keyFile,
      environmentValue: env.THREADFORK_KEY,
    });
    const daemons = readAddresses({ flags: this.daemons, env, variable: 'THREADFORK_CALLERS' });
    return daemons.andThen((endpoints) =>
      key.andThen((secret) =>
        ok({
          daemons: endpoints,
          headers: this.headers(secret, deadlineMs),
          body: this.body(),
          streamed: this.stream,
          timeoutMs: deadlineMs + TIMEOUT_MARGIN_MS,
        }),
      ),
    );
  }

  private headers(secret: string | null, deadlineMs: number): Record<string, string> {
    const headers: Record<string, string> = {};
    if (secret !== null) {
      headers.authorization = `Bearer ${secret}`;
    }
    if (this.className !== undefined) {
      headers['x-threadfork-class'] = this.className;
    }
    if (this.deadline !== undefined) {
      headers['x-threadfork-deadline-ms'] = String(Math.round(deadlineMs));
    }
    if (this.notRepeatable) {
      headers['x-threadfork-repeatable'] = 'false';
    }
    if (this.idempotencyKey !== undefined) {
      headers['idempotency-key'] = this.idempotencyKey;
    }
    return headers;
  }

  private body(): Record<string, unknown> {
    return {
      model: this.model,
      prompt: this.prompt,
      max_tokens: Number(this.maxTokens),
      ...(this.stream ? { stream: true } : {}),
    };
  }
}
