/** Calls over plain sockets, which show what an answer's framing says and not what an HTTP client makes of it. */
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n';

/** What a caller received until its connection ended. */
export interface RawAnswer {
  /** 0 where no complete head has arrived. */
  readonly status: number;
  /** The status line and headers, in lower case. */
  readonly head: string;
  /** The body without the framing of its chunks. */
  readonly body: string;
  /** Whether the answer's own framing says that it is complete. */
  readonly looksWhole: boolean;
}

/** Sends the lines of a head and a body on a connection of its own, and reads until that ends. */
export function callRaw(port: number, lines: readonly string[], body = ''): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const chunks: Buffer[] = [];
    let wasReset = false;
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.once('error', () => {
      wasReset = true;
    });
    // A reset that arrives with the last bytes is reported as an ordinary end; its connection has no peer any more.
    socket.prependOnceListener('end', () => {
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.once('close', () => {
      const isHead = lines[0]?.startsWith('HEAD ') === true;
      resolve(readAnswer(Buffer.concat(chunks).toString('latin1'), { wasReset, isHead }));
    });
    socket.write([...lines, 'Connection: close', '', body].join('\r\n'));
  });
}

function readAnswer(
  text: string,
  { wasReset, isHead }: { readonly wasReset: boolean; readonly isHead: boolean },
): RawAnswer {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return { status: 0, head: text.toLowerCase(), body: '', looksWhole: false };
  const head = text.slice(0, end).toLowerCase();
  const rest = text.slice(end + HEAD_END.length);
  const status = Number(/^http\/1\.\d (\d{3})/.exec(head)?.[1] ?? 0);
  if (isHead || status === 204 || status === 304) {
    return { status, head, body: rest, looksWhole: rest === '' };
  }
  if (/^transfer-encoding: *chunked$/m.test(head)) return { status, head, ...readChunks(rest) };
  const length = /^content-length: *(\d+)$/m.exec(head)?.[1];
  const looksWhole = length === undefined ? !wasReset : rest.length === Number(length);
  return { status, head, body: rest, looksWhole };
}

function readChunks(text: string): Pick<RawAnswer, 'body' | 'looksWhole'> {
  let body = '';
  let rest = text;
  while (!rest.startsWith(LAST_CHUNK)) {
    const lineEnd = rest.indexOf('\r\n');
    const length = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
    const chunkEnd = lineEnd + 2 + length;
    if (lineEnd < 0 || Number.isNaN(length) || rest.length < chunkEnd + 2) {
      return { body, looksWhole: false };
    }
    body += rest.slice(lineEnd + 2, chunkEnd);
    rest = rest.slice(chunkEnd + 2);
  }
  return { body, looksWhole: rest.endsWith('\r\n\r\n') };
}
