/** Runs the command line in this process with captured output; starts servers that misbehave. */
import { createServer, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { runCli } from '../../src/cli/run.js';

export interface RunResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

export interface RunOptions {
  readonly env?: Record<string, string>;
  readonly isTerminal?: boolean;
}

export async function runThreadfork(
  commandLine: readonly string[],
  { env = {}, isTerminal = false }: RunOptions = {},
): Promise<RunResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await runCli(commandLine, {
    env,
    stdin: new PassThrough(),
    stdout,
    stderr,
    colorDepth: 1,
    isTerminal,
  });
  return { code, stdout: textOf(stdout), stderr: textOf(stderr) };
}

function textOf(stream: PassThrough): string {
  return String(stream.read() ?? '');
}

export interface RawServer {
  readonly address: string;
  readonly received: string[];
  close(): Promise<void>;
}

/** A TCP server that records the first bytes of each connection and calls `onRequest`. */
export function startRawServer(onRequest: (socket: Socket) => void): Promise<RawServer> {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (data) => {
      received.push(data.toString());
      onRequest(socket);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
      const close = () => new Promise<void>((closed) => server.close(() => closed()));
      resolve({ address: `127.0.0.1:${port}`, received, close });
    });
  });
}

/** An address on which nothing listens. */
export async function closedAddress(): Promise<string> {
  const server = await startRawServer(() => undefined);
  await server.close();
  return server.address;
}
