/** A stand-in of the clients: sends requests as the pages describe them and records each outcome. */
import http from 'node:http';

const hex = (digits) =>
  Array.from({ length: digits }, () => Math.floor(Math.random() * 16).toString(16)).join('');

export const HOST = 'ficu95.example';

/** Sends one try; resolves to { id, outcome, status, body, stamp }, with outcome 'answered' | 'cut' | 'deadline'. */
export function send(gateway, { method, path, headers = {}, body, deadlineMs, agent = false }) {
  const id = hex(16);
  const startedMs = performance.now();
  return new Promise((resolve) => {
    const done = (outcome, more = {}) => {
      clearTimeout(timer);
      resolve({
        id,
        gateway: gateway.name,
        startedMs,
        endedMs: performance.now(),
        outcome,
        ...more,
      });
    };
    const request = http.request({
      host: '127.0.0.1',
      port: gateway.port,
      method,
      path,
      agent,
      headers: {
        Host: HOST,
        'X-Attempt-Id': id,
        'X-Deadline-Ms': String(deadlineMs),
        ...headers,
        ...(body === undefined ? {} : { 'Content-Length': String(body.length) }),
      },
    });
    const timer = setTimeout(() => {
      done('deadline');
      request.destroy();
    }, deadlineMs);
    request.on('error', (error) => done('cut', { error: error.code ?? error.message }));
    request.on('response', (response) => {
      const chunks = [];
      const { statusCode: status } = response;
      const stamp = response.headers['x-response-stamp'];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => done('cut', { status, error: 'broke off' }));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('latin1');
        const isFramed = response.headers['transfer-encoding'] === 'chunked';
        const isLast = response.headers.connection === 'close';
        done(response.complete ? 'answered' : 'cut', {
          status,
          stamp,
          body: text,
          isFramed,
          isLast,
        });
      });
      response.on('close', () => done('cut', { status, error: 'closed' }));
    });
    request.end(body);
  });
}

/** The shared parts of prompts, of which there are many. */
const SUBJECTS = Array.from({ length: 138 }, () => hex(8));
const subject = () => SUBJECTS[Math.floor(Math.random() * SUBJECTS.length)];

/** A request to a model route, with a long or a short prompt. */
export function modelRequest(path, deadlineMs, isLong = true) {
  const [shared, own, out] = isLong ? [13_300, 3_720, 17] : [92, 291, 90];
  return {
    method: 'POST',
    path,
    deadlineMs,
    headers: {
      'X-Model': 'm',
      'X-Token-Count': `${shared + own},${out}`,
      'X-Prompt-Prefix': `${subject()}:${shared},${hex(8)}:${own}`,
    },
    body: Buffer.from(hex(380)),
  };
}
