/** Reads the metrics of daemons at the end of a run: whether they are served, and how many daemons each has heard of lately. */
import type { GatewayProcess } from './gateway-process.js';
import { pause } from './pause.js';
import type { MetricsReading } from './record.js';
import { DAEMON_PORTS } from './settings-file.js';

const PEERS = /^threadfork_gateway_peers (\d+)$/m;
const TIMEOUT_MS = 1_000;
const POLL_INTERVAL_MS = 500;

/** Reads the metrics of a daemon until they show a peer, or a time has passed. */
export async function readMetrics(daemon: GatewayProcess, forMs: number): Promise<MetricsReading> {
  const untilMs = performance.now() + forMs;
  for (;;) {
    const peers = await readPeers(daemon.host);
    if ((peers ?? 0) > 0 || performance.now() + POLL_INTERVAL_MS > untilMs) {
      return { daemon: daemon.name, zone: daemon.zone, atMs: performance.now(), peers };
    }
    await pause(POLL_INTERVAL_MS);
  }
}

async function readPeers(host: string): Promise<number | undefined> {
  try {
    const answer = await fetch(`http://${host}:${DAEMON_PORTS.metrics}/metrics`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const [, peers] = PEERS.exec(await answer.text()) ?? [];
    return peers === undefined ? undefined : Number(peers);
  } catch {
    return undefined; // The daemon does not serve its metrics.
  }
}
