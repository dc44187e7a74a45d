/** Parses server-sent events from chunks of bytes. */

/** An event with more characters ends the stream with an error. */
const MAX_EVENT_CHARACTERS = 1_048_576;

/** The data of each event that has any, in order. An incomplete event at the end of the stream is dropped. */
export async function* readEventData(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  const parser = new EventParser();
  for await (const chunk of chunks) yield* parser.push(decoder.decode(chunk, { stream: true }));
}

/** Reads each character once, however it is split among chunks. */
class EventParser {
  #line = '';
  #data: string[] = [];
  #eventCharacters = 0;

  /** The data of the events that the text completes. */
  push(text: string): string[] {
    const lines = text.split('\n');
    const events: string[] = [];
    for (const [index, part] of lines.entries()) {
      this.#extendLine(part);
      const isLineEnd = index < lines.length - 1;
      if (isLineEnd) this.#endLine(events);
    }
    return events;
  }

  #extendLine(part: string): void {
    this.#line += part;
    this.#eventCharacters += part.length;
    if (this.#eventCharacters <= MAX_EVENT_CHARACTERS) return;
    throw new Error(
      `an event has over ${MAX_EVENT_CHARACTERS} characters; check that the address is a daemon's`,
    );
  }

  #endLine(events: string[]): void {
    const line = this.#line.replace(/\r$/, '');
    this.#line = '';
    if (line.startsWith('data:')) this.#data.push(line.slice('data:'.length).trimStart());
    if (line !== '') return;
    if (this.#data.length > 0) events.push(this.#data.join('\n'));
    this.#data = [];
    this.#eventCharacters = 0;
  }
}
