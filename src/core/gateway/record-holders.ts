/**
 * The daemons that keep the record of a stream: each daemon computes the same ones from the id of the stream and the list
 * of daemons. They are in as many zones as possible, so that the loss of a zone leaves one.
 */
import { rankByRendezvous } from './rendezvous.js';

/** Survives the loss of a zone together with that of any one daemon outside it, in a fleet of three zones or more. */
const HOLDERS = 3;

/** A daemon that can keep records. */
export interface RecordHolder {
  readonly name: string;
  readonly zone: string;
}

/** @param daemons all listed daemons, including this one */
export function recordHolders<Daemon extends RecordHolder>(
  streamId: string,
  daemons: readonly Daemon[],
): readonly Daemon[] {
  const byName = new Map(daemons.map((daemon) => [daemon.name, daemon]));
  const ranked = rankByRendezvous(streamId, [...byName.keys()]).flatMap(
    (name) => byName.get(name) ?? [],
  );
  const zones = new Set<string>();
  const firstOfZone = ranked.filter(({ zone }) => !zones.has(zone) && zones.add(zone));
  const others = ranked.filter((daemon) => !firstOfZone.includes(daemon));
  return [...firstOfZone, ...others].slice(0, HOLDERS);
}
