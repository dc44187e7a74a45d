/** The gateway's program as the soak runs it: bundled with its call, in a process of its own. */
import { main } from '../src/daemon/gateway-main.js';

main();
