/** Connections that are kept between calls, and closed where bytes arrive that belong to no call. */
import http, { type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Keeps idle connections; the one used last is reused first. */
export class IdleGuardAgent extends http.Agent {
  constructor() {
    super({ keepAlive: true, scheduling: 'lifo' });
  }

  /** Called by node:http when an answer has ended. */
  override keepSocketAlive(socket: Socket): unknown {
    const mayKeep: unknown = super.keepSocketAlive(socket);
    socket.once('data', destroySocket);
    return mayKeep;
  }

  /** Called by node:http when an idle connection is reused for a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.off('data', destroySocket);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
