/** What the commands that call the operator API have in common. */
import { Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { parseDuration } from '../core/language/index.js';
import { errorAnswerSchema } from './answers.js';
import { BaseCommand } from './base-command.js';
import { readAddresses, readSecret } from './daemon-options.js';
import { EXIT_UNKNOWN } from './exit-codes.js';
import {
  type CallOutcome,
  callOperator,
  type DaemonAnswer,
  type NoAnswer,
  type OperatorCall,
  type OperatorClientOptions,
} from './operator-client.js';
import { printable } from './text.js';

const DEFAULT_TIMEOUT = '30s';
const STATUS_OK = 200;

/** A command that calls the operator API of a daemon. */
export abstract class OperatorCommand extends BaseCommand {
  daemons = Option.Array('--daemon', [], {
    description: 'IP:PORT of a daemon for operators; repeat it for others to try',
  });
  token = Option.String('--token', { description: 'operator token; better THREADFORK_TOKEN' });
  tokenFile = Option.String('--token-file', { description: 'file that holds the token' });
  timeout = Option.String('--timeout', DEFAULT_TIMEOUT, {
    description: 'how long one daemon may take to answer, such as 10s',
  });

  /** Makes a call; the error is what is wrong with the command line. */
  protected async call(call: OperatorCall): Promise<Result<CallOutcome, string>> {
    const options = this.clientOptions();
    return options.isErr() ? err(options.error) : ok(await callOperator(options.value, call));
  }

  /** Makes a call that changes nothing, and hands its checked answer on. */
  protected async callAndShow<T>(
    call: OperatorCall,
    schema: z.ZodType<T>,
    show: (answer: T) => number,
  ): Promise<number> {
    const outcome = await this.call(call);
    if (outcome.isErr()) {
      return this.reportUsageError(outcome.error);
    }
    if (outcome.value.kind === 'no-answer') {
      return this.reportUnreachable(outcome.value);
    }
    const error = errorAnswerSchema.safeParse(outcome.value.body);
    if (error.success) {
      return this.reportFault(error.data.error);
    }
    const answer = schema.safeParse(outcome.value.body);
    return answer.success && outcome.value.status === STATUS_OK
      ? show(answer.data)
      : this.reportUnexpectedAnswer(outcome.value);
  }

  protected reportUnreachable({ reasons }: NoAnswer): number {
    if (this.json) {
      this.printJson({ kind: 'unreachable', reasons });
    }
    this.printError('unreachable: no daemon answered. Check the addresses, or name other daemons:');
    this.printError(reasons.map((reason) => `  ${printable(reason)}`).join('\n'));
    return EXIT_UNKNOWN;
  }

  protected reportUnexpectedAnswer({ daemon, status }: DaemonAnswer): number {
    this.printError(
      `unknown: ${daemon} gave an answer (status ${status}) that is not understood. Check that it is the operator address of a daemon of this version.`,
    );
    return EXIT_UNKNOWN;
  }

  private clientOptions(): Result<OperatorClientOptions, string> {
    const { env } = this.context;
    const daemons = readAddresses({ flags: this.daemons, env, variable: 'THREADFORK_DAEMON' });
    const token = readSecret({
      value: this.token,
      file: this.tokenFile,
      environmentValue: env.THREADFORK_TOKEN,
    });
    return daemons.andThen((endpoints) =>
      token.andThen((secret) =>
        readDuration(this.timeout).map((timeoutMs) => ({
          daemons: endpoints,
          token: secret,
          timeoutMs,
        })),
      ),
    );
  }
}

function readDuration(text: string): Result<number, string> {
  const milliseconds = parseDuration(text);
  return milliseconds === null
    ? err(`the timeout "${text}" is not a duration; write for example 10s`)
    : ok(milliseconds);
}
