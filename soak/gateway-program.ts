/** Entry point that the soak bundles instead of the product's own, and runs in a separate process per daemon. */
import { main as runGateway } from '../src/daemon/gateway-main.js';
import { endWithParent } from './end-with-parent.js';

/** Called by the loader, as the product's own entry point is. */
export function main(...options: Parameters<typeof runGateway>): void {
  endWithParent();
  runGateway(...options);
}
