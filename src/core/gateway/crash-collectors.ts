/**
 * The daemons that are told at once of parts of prompts under suspicion, so that in a large fleet not every end of a server
 * is told to everyone. Whoever has heard of enough crashes quarantines the part and tells all.
 */
import { rankByRendezvous } from './rendezvous.js';

/** With three in ten datagrams lost, the chance that none of them receives one is below 10^-8. */
const COLLECTORS = 16;
const RANKING_KEY = 'crash records of parts';

/** @param peers all other daemons; the choice is the same for all daemons, except that none is its own peer */
export function crashCollectors<Daemon extends { readonly name: string }>(
  peers: readonly Daemon[],
): readonly Daemon[] {
  if (peers.length <= COLLECTORS) return peers;
  const byName = new Map(peers.map((peer) => [peer.name, peer]));
  const ranked = rankByRendezvous(RANKING_KEY, [...byName.keys()]).slice(0, COLLECTORS);
  return ranked.flatMap((name) => byName.get(name) ?? []);
}
