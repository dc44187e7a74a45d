/**
 * `npm run bench [-- --json] [-- --only routing|plan|admission|path|http]`: measures routing decisions,
 * plans, admission, the complete request path, and HTTP through a daemon compared with a minimal
 * pass-through proxy. Writes only the result to standard output.
 */
import { parseArgs } from 'node:util';
import { benchAdmission } from './admission-operations.js';
import { benchHttp } from './http/bench-http.js';
import { benchPlans } from './plan-decision.js';
import { benchRequestPath } from './request-path.js';
import { benchRouting } from './routing-decision.js';
import { benchWaitingRoom } from './wait-queue.js';

const { values } = parseArgs({
  options: { json: { type: 'boolean', default: false }, only: { type: 'string' } },
});
const runs = (part: string): boolean => values.only === undefined || values.only === part;

const result = {
  routing: runs('routing') ? benchRouting() : [],
  plans: runs('plan') ? benchPlans() : [],
  admission: runs('admission') ? [...benchAdmission(), ...benchWaitingRoom()] : [],
  requestPath: runs('path') ? benchRequestPath() : [],
  http: runs('http') ? await benchHttp() : [],
};

if (values.json) {
  console.log(JSON.stringify(result, null, 2));
} else {
  for (const part of Object.values(result)) {
    console.table(part);
  }
}
