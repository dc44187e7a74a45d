/** A client that sees what HTTP and TCP show: the head, the body, and how the connection ended. */
import { connect } from 'node:net';

/** Sends one request on a connection of its own, and resolves with what came of it. */
export function send({ port, method = 'POST', path, headers, body = '', timeoutMs = 8000 }) {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const chunks = [];
    let ended = 'open';
    const timer = setTimeout(() => {
      ended = 'left';
      socket.destroy();
    }, timeoutMs);
    socket.on('connect', () => {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
      const framing = `Content-Length: ${Buffer.byteLength(body)}`;
      socket.write([`${method} ${path} HTTP/1.1`, ...lines, framing, '', body].join('\r\n'));
    });
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      const answer = parse(Buffer.concat(chunks));
      if (answer?.isWhole === true && answer.framing !== 'close') {
        ended = 'whole';
        socket.destroy();
      }
    });
    socket.on('end', () => {
      if (ended === 'open') ended = 'closed';
      socket.end();
    });
    socket.on('error', ({ code }) => {
      if (ended === 'open') ended = code === 'ECONNREFUSED' ? 'not connected' : 'reset';
    });
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(judged(parse(Buffer.concat(chunks)), ended));
    });
  });
}

/** Whether an answer is complete by RFC 9112, section 6.3 and 8: a closed connection ends one without length or chunks. */
function judged(answer, ended) {
  if (answer === undefined) return { status: 0, ended, isComplete: false, body: '', headers: {} };
  const isComplete = answer.framing === 'close' ? ended === 'closed' : answer.isWhole;
  return { ...answer, ended, isComplete };
}

function parse(bytes) {
  const text = bytes.toString('latin1');
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [statusLine = '', ...lines] = text.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(statusLine.split(' ')[1]);
  const rest = text.slice(end + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    return { status, headers, framing: 'chunks', ...unchunk(rest) };
  }
  const length = headers['content-length'];
  if (length === undefined) return { status, headers, framing: 'close', body: rest, isWhole: true };
  const body = rest.slice(0, Number(length));
  return { status, headers, framing: 'length', body, isWhole: body.length === Number(length) };
}

function unchunk(text) {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, isWhole: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const from = lineEnd + 2;
    if (size === 0) return { body, isWhole: text.length >= from + 2 };
    body += text.slice(from, from + size);
    if (text.length < from + size + 2) return { body, isWhole: false };
    at = from + size + 2;
  }
}
