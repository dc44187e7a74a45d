/**
 * Daemons that have left the list lately. After a restore of the store the list lacks daemons that run, until they have
 * written their rows again.
 */

/** Longer than it takes until a list that lacks daemons is read again. */
const VALID_MS = 30_000;

interface Unlisted<Daemon> {
  readonly daemon: Daemon;
  readonly unlistedMs: number;
}

/** The daemons that one daemon no longer finds in the list. */
export class UnlistedPeers<Daemon extends { readonly name: string }> {
  readonly #byName = new Map<string, Unlisted<Daemon>>();

  /** Records that a daemon has left the list. */
  add(daemon: Daemon, nowMs: number): void {
    this.#byName.set(daemon.name, { daemon, unlistedMs: nowMs });
  }

  /** Records that a daemon is in the list. */
  remove(name: string): void {
    this.#byName.delete(name);
  }

  recent(nowMs: number): readonly Daemon[] {
    for (const [name, { unlistedMs }] of this.#byName) {
      if (nowMs - unlistedMs > VALID_MS) this.#byName.delete(name);
    }
    return [...this.#byName.values()].map(({ daemon }) => daemon);
  }
}
