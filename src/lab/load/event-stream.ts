/** Parses server-sent events from chunks of bytes. */

/** One event, without comments and unknown fields. */
export interface ServerSentEvent {
  readonly id: string | null;
  readonly data: string;
}

const SEPARATOR = '\n\n';

/** Reassembles complete events from chunks that may split them anywhere. */
export class EventStreamReader {
  private readonly decoder = new TextDecoder();
  private pending = '';

  /** The events that this chunk completes. */
  read(chunk: Uint8Array): ServerSentEvent[] {
    this.pending += this.decoder.decode(chunk, { stream: true });
    const blocks = this.pending.split(SEPARATOR);
    this.pending = blocks.pop() ?? '';
    return blocks.map(parseBlock).filter((event) => event !== null);
  }

  /** Whether the bytes so far end with an incomplete event. */
  get isBroken(): boolean {
    return this.pending.trim() !== '';
  }
}

function parseBlock(block: string): ServerSentEvent | null {
  let id: string | null = null;
  const data: string[] = [];
  for (const line of block.split('\n')) {
    if (line.startsWith('data:')) data.push(line.slice('data:'.length).trimStart());
    else if (line.startsWith('id:')) id = line.slice('id:'.length).trim();
  }
  return data.length === 0 ? null : { id, data: data.join('\n') };
}
