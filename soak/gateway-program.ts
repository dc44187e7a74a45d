/** Entry point that the soak bundles into one file and runs in a separate process per daemon. */
import { main } from '../src/daemon/gateway-main.js';
import { endWithParent } from './end-with-parent.js';

endWithParent();
main();
