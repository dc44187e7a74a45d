/**
 * Decides on a stream of which no daemon has a record. It goes on only where every daemon that answers knows the same one
 * version of servers for as long as any stream lives, and where these are most daemons, or the store confirms the version;
 * otherwise its version would be a guess.
 */
import { type OriginView, soleOrigin } from './possible-origins.js';
import { isSameOrigin, type StreamOrigin } from './stream-origin.js';

/** How the origin of a stream became known. */
export type OriginSource = 'own record' | 'record of a peer' | 'only version';

/** Why a stream does not go on. */
export type ResumptionRejection =
  | 'its software version is not known'
  | 'too few daemons answer to know its software version'
  | 'its route leads to its service no more';

/** Whether a stream goes on, and where. */
export type ResumptionDecision =
  | {
      readonly kind: 'continue';
      readonly origin: StreamOrigin;
      readonly source: OriginSource;
      /** Time since its first event; undefined without a record. */
      readonly ageMs: number | undefined;
    }
  | { readonly kind: 'reject'; readonly reason: ResumptionRejection };

/** What one other daemon knows of where the streams of a route may have begun. */
export interface PeerView {
  readonly zone: string;
  readonly view: OriginView;
}

/** What is known of a stream without a record. */
export interface UnrecordedStream {
  readonly ownView: OriginView;
  readonly ownZone: string;
  readonly answers: readonly PeerView[];
  /** The zones of all listed daemons. */
  readonly zones: ReadonlySet<string>;
  /** The number of daemons that were asked, with this one; undefined while the list of daemons is not known. */
  readonly daemons: number | undefined;
  /** Whether the store has confirmed the own list of servers since the stream was taken up. */
  readonly isConfirmed: boolean;
}

export function decideUnrecorded(stream: UnrecordedStream): ResumptionDecision {
  const { ownView, answers } = stream;
  const views = [ownView, ...answers.map(({ view }) => view)];
  const origin = ownView.origins.length === 1 ? ownView.origins[0] : undefined;
  const isAgreed =
    origin !== undefined &&
    views.every(({ origins }) => origins.every((other) => isSameOrigin(other, origin)));
  if (!isAgreed) return { kind: 'reject', reason: 'its software version is not known' };
  if (!reachesEnough(stream)) {
    return { kind: 'reject', reason: 'too few daemons answer to know its software version' };
  }
  if (!views.some((view) => soleOrigin(view) !== undefined)) {
    return { kind: 'reject', reason: 'its software version is not known' };
  }
  return { kind: 'continue', origin, source: 'only version', ageMs: undefined };
}

/**
 * Daemons that are cut off together agree on what they all missed. So either most daemons, in most of the zones, have to
 * agree, or the store has to confirm what fewer know.
 */
function reachesEnough({ answers, ownZone, zones, daemons, isConfirmed }: UnrecordedStream) {
  if (daemons === undefined) return false;
  // A daemon that has just started may know no server yet.
  const informed = answers.filter(({ view }) => view.origins.length > 0);
  if (isConfirmed && informed.length > 0) return true;
  const heardZones = new Set([ownZone, ...informed.map(({ zone }) => zone)]);
  return 2 * (informed.length + 1) > daemons && 2 * heardZones.size > zones.size;
}
