/** Parses server-sent events from chunks of bytes. */

/** The data of each event, in order. An incomplete event at the end of the stream is dropped. */
export async function* readEventData(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, { stream: true });
    const events = pending.split(/\r?\n\r?\n/);
    pending = events.pop() ?? '';
    for (const event of events) {
      yield dataOf(event);
    }
  }
}

function dataOf(event: string): string {
  return event
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).trimStart())
    .join('\n');
}
