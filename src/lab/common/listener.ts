/** Opens and closes the listeners of the lab's servers. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Endpoint } from '../../core/registry/backend.js';

/** Listens and returns the endpoint with the port that was assigned. */
export async function openListener(server: Server, listen: Endpoint): Promise<Endpoint> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.address, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return { address: listen.address, port: (server.address() as AddressInfo).port };
}

/** Closes a listener and all its connections. */
export function closeListener(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
