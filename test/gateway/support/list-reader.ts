/**
 * A process that reads a list from the store at the port in its first argument, and writes its length: the list of servers,
 * or the rows of the product's table under the prefix in its second argument.
 */

import { createPlatformAdapter } from '../../../platform/index.js';
import type { TableCall } from '../../../src/core/platform/table.js';
import { ANSWER_READING } from '../../../src/shell/bytes/index.js';
import { readAllRows } from '../../../src/shell/gateway/table-call.js';

const [, , port, prefix] = process.argv;
const { servers, table } = createPlatformAdapter(ANSWER_READING, {
  host: '127.0.0.1',
  port: Number(port),
});
const { signal } = new AbortController();

async function lengthOfList(): Promise<number | undefined> {
  if (prefix !== undefined) {
    const callPage = (page: TableCall) => table.call(page, signal);
    const keys = await readAllRows(prefix, callPage, ({ key }) => [key]);
    return keys?.length;
  }
  const answer = await servers.readAll(signal, () => undefined);
  return answer.kind === 'rows' ? answer.rows.length : undefined;
}

process.stdout.write(String(await lengthOfList()));
