/** Looks at which of its ports a daemon does not use. */
import type { GatewayProcess } from './gateway-process.js';
import { pause } from './pause.js';
import { takePort } from './port-holder.js';
import type { PortCheck } from './record.js';
import { ALL_PORTS, type DaemonPort } from './start-fault.js';

const POLL_INTERVAL_MS = 500;

/** Looks at the ports of a daemon until it uses them all, or a time has passed. */
export async function checkPorts(daemon: GatewayProcess, forMs: number): Promise<PortCheck> {
  const untilMs = performance.now() + forMs;
  for (;;) {
    const unused = await unusedPorts(daemon.host);
    const atMs = performance.now();
    if (unused.length === 0 || atMs + POLL_INTERVAL_MS > untilMs) {
      return { daemon: daemon.name, atMs, unused };
    }
    await pause(POLL_INTERVAL_MS);
  }
}

async function unusedPorts(host: string): Promise<readonly DaemonPort[]> {
  const isUnused = await Promise.all(ALL_PORTS.map((port) => isFree(host, port)));
  return ALL_PORTS.filter((_, index) => isUnused[index]);
}

async function isFree(host: string, port: DaemonPort): Promise<boolean> {
  const taken = await takePort(host, port);
  await taken?.release();
  return taken !== undefined;
}
