/**
 * The paths of single daemons to the servers: for each daemon and server a proxy before the server's own link, so that some
 * daemons are cut off from all servers while others reach them.
 */
import type { AcceptMonitor } from './accept-monitor.js';
import { LinkProxy } from './link-proxy.js';
import { pause } from './pause.js';
import type { DaemonCut } from './plan.js';

const MAX_REOPEN_TRIES = 20;
const REOPEN_INTERVAL_MS = 100;

/** The links of all daemons, by the daemon's index. */
export class DaemonLinks {
  readonly #byDaemon: readonly Map<string, LinkProxy>[];
  readonly #accepts: AcceptMonitor;

  constructor(daemons: number, accepts: AcceptMonitor) {
    this.#byDaemon = Array.from({ length: daemons }, () => new Map<string, LinkProxy>());
    this.#accepts = accepts;
  }

  /** Opens the links of all daemons to a server at this address. */
  async open(address: string): Promise<void> {
    const port = Number(address.split(':')[1]);
    for (const links of this.#byDaemon) {
      const link = new LinkProxy(() => port, this.#accepts);
      links.set(address, link);
      await link.open();
    }
  }

  /** The address at which a daemon reaches a server. */
  addressFor(daemon: number, address: string): string {
    return this.#byDaemon[daemon]?.get(address)?.address ?? address;
  }

  cut(daemon: number, how: DaemonCut): void {
    for (const link of this.#linksOf(daemon)) {
      link.refuse();
      if (how !== 'refuse') link.begin(how);
    }
  }

  async restore(daemon: number): Promise<void> {
    await Promise.all(this.#linksOf(daemon).map(reopen));
  }

  close(): void {
    for (const links of this.#byDaemon) for (const link of links.values()) link.close();
  }

  #linksOf(daemon: number): readonly LinkProxy[] {
    return [...(this.#byDaemon[daemon]?.values() ?? [])];
  }
}

/** Another process may have taken the port during the cut; if it keeps it, the daemon stays cut off from that server. */
async function reopen(link: LinkProxy): Promise<void> {
  link.end();
  for (let tries = 0; tries < MAX_REOPEN_TRIES; tries += 1) {
    try {
      return await link.open();
    } catch {
      await pause(REOPEN_INTERVAL_MS);
    }
  }
}
