/** `threadfork complete`, help, version and completion scripts. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { test } from 'node:test';
import { closedAddress, runThreadfork, startRawServer } from './harness.js';

const OPTIONS = ['complete', '--model', 'labels', '--prompt', 'Det.'];

async function complete(answer: string, ...more: readonly string[]) {
  const server = await startRawServer((socket) => socket.end(answer));
  const commandLine = [...OPTIONS, '--daemon', await closedAddress(), '--daemon', server.address];
  const result = await runThreadfork([...commandLine, ...more], { env: { THREADFORK_KEY: 'k1' } });
  await server.close();
  return { ...result, received: server.received };
}

function http(status: number, type: string, body: string, length = body.length): string {
  return `HTTP/1.1 ${status} X\r\ncontent-type: ${type}\r\ncontent-length: ${length}\r\nconnection: close\r\n\r\n${body}`;
}

function frame(text: string): string {
  return `id: a:0\ndata: ${JSON.stringify({ choices: [{ index: 0, text }] })}\n\n`;
}

test('a complete answer is printed, and the request carries the documented headers', async () => {
  const body = JSON.stringify({ choices: [{ text: 'J. Smit\u001b[2J' }] });
  const more = [
    '--not-repeatable',
    '--idempotency-key',
    'r17',
    '--class',
    'night',
    '--deadline',
    '5s',
  ];
  const result = await complete(http(200, 'application/json', body), ...more);
  assert.deepEqual([result.code, result.stdout], [0, 'J. Smit?[2J\n']);
  const [head = ''] = result.received;
  assert.match(head, /authorization: Bearer k1/i);
  assert.match(head, /x-threadfork-repeatable: false/);
  assert.match(head, /x-threadfork-deadline-ms: 5000/);
  assert.match(head, /x-threadfork-class: night/);
  assert.match(head, /idempotency-key: r17/);
});

test('a stream is printed as it arrives, and is complete only with its [DONE] event', async () => {
  const completeStream = `${frame('Det. ')}${frame('1904')}data: [DONE]\n\n`;
  const streamed = await complete(http(200, 'text/event-stream', completeStream), '--stream');
  assert.deepEqual([streamed.code, streamed.stdout], [0, 'Det. 1904\n']);
  const withoutEndEvent = await complete(http(200, 'text/event-stream', frame('Det.')), '--stream');
  assert.deepEqual(
    [withoutEndEvent.code, /broke off before its end/.test(withoutEndEvent.stderr)],
    [3, true],
  );
  const truncated = await complete(http(200, 'text/event-stream', frame('Det.'), 900), '--stream');
  assert.equal(truncated.code, 3);
});

test('an error is a refusal only if the daemon reports that nothing ran, and otherwise unknown', async () => {
  const error = {
    message: 'Over its share.',
    code: 'tenant-over-share',
    outcome: 'refused: not run',
  };
  const refused = await complete(http(429, 'application/json', JSON.stringify({ error })));
  assert.deepEqual([refused.code, refused.stderr], [1, 'refused: Over its share.\n']);
  const unknownError = { error: { ...error, outcome: 'unknown' } };
  assert.equal(
    (await complete(http(502, 'application/json', JSON.stringify(unknownError)))).code,
    3,
  );
  assert.equal((await complete(http(502, 'text/html', '<p>Bad gateway'))).code, 3);
  const lost = await complete('');
  assert.deepEqual([lost.code, /it may have run/.test(lost.stderr)], [3, true]);
});

test('a request that may have been sent is not repeated on another daemon', async () => {
  const first = await startRawServer((socket) => socket.destroy());
  const second = await startRawServer((socket) => socket.destroy());
  const daemons = ['--daemon', first.address, '--daemon', second.address];
  assert.equal((await runThreadfork([...OPTIONS, ...daemons])).code, 3);
  assert.deepEqual([first.received.length, second.received.length], [1, 0]);
  await Promise.all([first.close(), second.close()]);
});

test('help has examples for each command, and version and --version print the same version', async () => {
  const commands = [
    'query',
    'apply',
    'explain',
    'status',
    'config check',
    'config show',
    'complete',
    'version',
    'completion',
  ];
  for (const command of commands) {
    const help = await runThreadfork([...command.split(' '), '--help']);
    assert.equal(help.code, 0, command);
    assert.match(help.stdout, /Examples\n\n.*\n +\$|Examples\n\n.*\n +source|Examples/, command);
    assert.ok(help.stdout.includes(`threadfork ${command}`), command);
  }
  const { version } = JSON.parse((await runThreadfork(['version', '--json'])).stdout);
  assert.equal((await runThreadfork(['--version'])).stdout.trim(), version);
});

test('the bash script completes commands, subcommands and options', async () => {
  const { stdout: script } = await runThreadfork(['completion', 'bash']);
  const completed = (...words: readonly string[]): string =>
    execFileSync('bash', [
      '-c',
      `${script}\nCOMP_WORDS=(threadfork ${words.join(' ')}); COMP_CWORD=${words.length}; _threadfork; echo "\${COMPREPLY[@]}"`,
    ])
      .toString()
      .trim();
  assert.equal(completed('comp'), 'complete completion');
  assert.equal(completed('config', 's'), 'show');
  assert.equal(completed('config', 'show', '--co'), '--commands');
  assert.equal(completed('apply', '--if'), '--if-version');
});

test('scripts for zsh and fish name every command', async () => {
  assert.match(
    (await runThreadfork(['completion', 'zsh'])).stdout,
    /bashcompinit\n(.*\n)*complete .*threadfork/,
  );
  const fish = (await runThreadfork(['completion', 'fish'])).stdout;
  assert.match(fish, /__fish_seen_subcommand_from config' -a show/);
  assert.match(fish, /__fish_seen_subcommand_from apply' -l if-version/);
});
