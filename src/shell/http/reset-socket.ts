/** Resets connections. */
import type { Socket } from 'node:net';

/**
 * Closes a connection at once and discards what was not delivered. One that is still being opened, or whose end is being
 * sent, is closed without a reset: Node.js fails to reset it, leaves its handle open, and the process never exits.
 */
export function resetSocket(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (socket.connecting || isEnding) socket.destroy();
  else socket.resetAndDestroy();
}
