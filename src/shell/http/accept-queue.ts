/** What the system holds for a listener: connections that were not accepted yet, and bytes that were not read. */
import type { Server } from 'node:net';

/** More than the system keeps for a listener; beyond it, connections arrive as fast as they are accepted. */
const MAX_TURNS = 1_024;

/**
 * Accepts the connections that wait, as closing the listener would reset them. The event loop accepts one in a turn, so the
 * queue is empty after a turn without any.
 * @param hasTime false ends it before: turns are long while callers send much, and callers that are turned away may come
 *   back without end
 */
export async function acceptWaiting(
  listener: Server,
  hasTime: () => boolean = () => true,
): Promise<void> {
  let accepted = 0;
  const count = () => {
    accepted += 1;
  };
  listener.on('connection', count);
  listener.on('drop', count);
  // The rest of a turn may come after its look at the sockets.
  await socketsRead();
  for (let turns = 0; turns < MAX_TURNS && hasTime(); turns += 1) {
    const before = accepted;
    await socketsRead();
    if (accepted === before) break;
  }
  listener.off('connection', count);
  listener.off('drop', count);
}

/** Resolves right after the event loop has read the sockets: what had arrived on open connections is seen. */
export function socketsRead(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
