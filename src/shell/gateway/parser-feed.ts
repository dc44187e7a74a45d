/**
 * Hands what a caller sends to node:http's parser in small pieces. Of one read of 64 KB the parser would emit all requests, two
 * thousand short ones, before anything can stop it.
 */
import type { Socket } from 'node:net';
import type { TurnBudget } from './turn-budget.js';

/** Holds a usual head whole, and a dozen short ones. */
const HEAD_PIECE_BYTES = 1_024;
const BODY_PIECE_BYTES = 8_192;

/** Who looks at the pieces of one listener's connections. */
export interface FeedOptions {
  /** Whether a connection is not to be read at present; it has to be resumed afterwards. */
  readonly isHeld: (socket: Socket) => boolean;
  /** Whether the body of a request is arriving. */
  readonly isReadingBody: (socket: Socket) => boolean;
  /** Called after a piece has been parsed. */
  readonly onPiece: (socket: Socket, piece: Buffer) => void;
  readonly budget: Pick<TurnBudget, 'hasTime' | 'defer'>;
}

/**
 * Takes over the bytes of a connection that node:http has just begun to listen to. What follows a piece at which the connection
 * is paused is read again once it is resumed.
 */
export function feedInPieces(socket: Socket, options: FeedOptions): void {
  const { isHeld, isReadingBody, onPiece, budget } = options;
  const mayRead = () => !isHeld(socket) && !isPausedByNode(socket);
  let isDeferred = false;
  const defer = () => {
    if (isDeferred) return;
    isDeferred = true;
    budget.defer(() => {
      isDeferred = false;
      if (!socket.destroyed && mayRead()) socket.resume();
    });
  };
  const [parse] = socket.listeners('data');
  if (parse === undefined) return;
  socket.removeListener('data', parse as (chunk: Buffer) => void);
  socket.on('data', (chunk: Buffer) => {
    let start = 0;
    while (start < chunk.length && !socket.destroyed) {
      const waitsForTurn = isDeferred || !budget.hasTime;
      if (waitsForTurn || !mayRead() || socket.isPaused()) {
        // node:http resumes a connection after each request.
        socket.pause();
        socket.unshift(chunk.subarray(start));
        if (waitsForTurn) defer();
        return;
      }
      const bytes = isReadingBody(socket) ? BODY_PIECE_BYTES : HEAD_PIECE_BYTES;
      const piece = chunk.subarray(start, start + bytes);
      start += piece.length;
      parse.call(socket, piece);
      onPiece(socket, piece);
    }
  });
}

/** Whether node:http itself does not read a connection, as many bytes of answers wait; it resumes the connection later. */
export function isPausedByNode(socket: Socket): boolean {
  return Reflect.get(socket, '_paused') === true;
}
