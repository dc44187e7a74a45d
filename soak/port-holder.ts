/** Takes ports of a daemon whose process has ended, so that its next process finds them in use. */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import { DAEMON_PORTS } from './settings-file.js';
import type { DaemonPort } from './start-fault.js';

/** A port that is taken until it is released. */
export interface TakenPort {
  /** Resolves once the port is free. */
  release(): Promise<void>;
}

/** Takes a port; resolves to undefined if a process listens there. */
export function takePort(host: string, port: DaemonPort): Promise<TakenPort | undefined> {
  switch (port) {
    case 'callers':
    case 'readiness':
    case 'metrics':
      return listen(host, DAEMON_PORTS[port]);
    case 'peers-tcp':
      return listen(host, DAEMON_PORTS.peers);
    case 'peers-udp':
      return bindDatagrams(host, DAEMON_PORTS.peers);
  }
}

/** Listens as another program would, which speaks to nobody. */
function listen(host: string, port: number): Promise<TakenPort | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.resetAndDestroy();
    });
    server.once('error', () => resolve(undefined));
    const release = () => new Promise<void>((released) => server.close(() => released()));
    server.listen(port, host, () => resolve({ release }));
  });
}

function bindDatagrams(host: string, port: number): Promise<TakenPort | undefined> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(undefined));
    const release = () => new Promise<void>((released) => socket.close(released));
    socket.bind({ address: host, port, exclusive: true }, () => resolve({ release }));
  });
}
