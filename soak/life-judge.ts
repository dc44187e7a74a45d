/** Judges the lives of daemons' processes: how they ended, how long stops took, and whether the daemons were ready and whole. Pure. */
import type { DaemonLife, Disturbance, PortCheck, RunRecord, SoakBounds } from './record.js';

/** A broken promise of a process. */
export interface LifeFault {
  readonly atMs: number;
  readonly detail: string;
}

/** What is judged of a run. */
export interface JudgedLives
  extends Pick<
    RunRecord,
    | 'lives'
    | 'portChecks'
    | 'falseReadiness'
    | 'disturbances'
    | 'machineBytes'
    | 'beginMs'
    | 'endMs'
  > {
  readonly bounds: Pick<SoakBounds, 'contactMs' | 'graceMs'>;
}

type Span = Pick<Disturbance, 'fromMs' | 'toMs'>;

/** Timers of the soak fire late by less than this, unless its process counts as disturbed. */
const TIMER_SLACK_MS = 100;
const BYTES_PER_MEGABYTE = 1_048_576;

/** The faults of all processes. */
export function lifeFaults(run: JudgedLives): readonly LifeFault[] {
  return [
    ...run.lives.flatMap((life) => [
      ...ownEnd(life),
      ...overMemory(life, run),
      ...overdueStop(life, run),
      ...unreadySpans(life, run),
    ]),
    ...run.portChecks.flatMap((check) => partlyStarted(check, run)),
    ...run.falseReadiness.map(({ daemon, atMs }) => ({
      atMs,
      detail: `${daemon} was ready while its port for callers was taken`,
    })),
  ];
}

function ownEnd(life: DaemonLife): readonly LifeFault[] {
  const { daemon, startedMs, endedMs = startedMs, end } = life;
  if (end?.cause !== 'own') return [];
  const how = end.signal === null ? `with code ${end.exitCode}` : `by ${end.signal}`;
  const detail = `${daemon} ended by itself ${how}, ${Math.round(endedMs - startedMs)} ms after its start`;
  return [{ atMs: endedMs, detail }];
}

/** A process that the system would have ended, as it took more memory than its machine has. */
function overMemory(life: DaemonLife, { machineBytes }: JudgedLives): readonly LifeFault[] {
  const { daemon, startedMs, peakResidentBytes } = life;
  if (machineBytes === undefined || peakResidentBytes <= machineBytes) return [];
  const megabytes = (bytes: number) => Math.ceil(bytes / BYTES_PER_MEGABYTE);
  const detail = `${daemon} took ${megabytes(peakResidentBytes)} MB of ${megabytes(machineBytes)}`;
  return [{ atMs: startedMs, detail }];
}

/** A stop that lasted until its process was killed at the end of the grace period. */
function overdueStop(life: DaemonLife, run: JudgedLives): readonly LifeFault[] {
  const { daemon, startedMs, stopMs, killedMs } = life;
  if (stopMs === undefined || killedMs === undefined) return [];
  if (killedMs - stopMs < run.bounds.graceMs - TIMER_SLACK_MS) return [];
  const isFrozen = ({ scope, name, fromMs, toMs }: Disturbance) =>
    scope === 'frozen' && name === daemon && fromMs <= killedMs && toMs >= stopMs;
  if (run.disturbances.some(isFrozen)) return [];
  const age = Math.round(stopMs - startedMs);
  return [{ atMs: stopMs, detail: `${daemon}, told to stop ${age} ms after its start, did not` }];
}

/** The spans in which a daemon was in touch throughout and never ready. */
function unreadySpans(life: DaemonLife, run: JudgedLives): readonly LifeFault[] {
  const { daemon, startedMs, readyMs, stopMs = run.endMs, endedMs = run.endMs } = life;
  const fromMs = Math.max(startedMs, run.beginMs);
  const toMs = Math.min(stopMs, endedMs, run.endMs);
  const moments = [fromMs, ...readyMs.filter((atMs) => atMs > fromMs && atMs < toMs), toMs];
  const disturbed = disturbancesOf(daemon, run);
  return moments.flatMap((sinceMs, index): readonly LifeFault[] => {
    const nextMs = moments[index + 1];
    if (nextMs === undefined) return [];
    const dueMs = dueAfter(sinceMs, disturbed, run.bounds.contactMs);
    if (nextMs <= dueMs) return [];
    const detail = `${daemon} was not ready for ${Math.round(nextMs - sinceMs)} ms, ${Math.round(nextMs - dueMs)} ms of it in touch`;
    return [{ atMs: sinceMs, detail }];
  });
}

/** When a daemon is in touch again after a moment, given that disturbances follow which begin before it would be. */
function dueAfter(sinceMs: number, disturbed: readonly Span[], contactMs: number): number {
  let calmMs = sinceMs;
  for (const { fromMs, toMs } of disturbed) {
    if (fromMs <= calmMs + contactMs) calmMs = Math.max(calmMs, toMs);
  }
  return calmMs + contactMs;
}

/** A daemon that is ready although a part of it has not started, such as its metrics or its exchange with other daemons. */
function partlyStarted(
  { daemon, atMs, unused }: PortCheck,
  run: JudgedLives,
): readonly LifeFault[] {
  const startedMs = run.lives.findLast((life) => life.daemon === daemon)?.startedMs ?? 0;
  const dueMs = dueAfter(startedMs, disturbancesOf(daemon, run), run.bounds.contactMs);
  if (unused.length === 0 || atMs <= dueMs) return [];
  return [{ atMs, detail: `${daemon} does not use its ports for ${unused.join(', ')}` }];
}

/** What disturbs a daemon, in order of time. */
function disturbancesOf(daemon: string, { disturbances, bounds }: JudgedLives): readonly Span[] {
  return disturbances
    .filter((disturbance) => isOf(daemon, disturbance))
    .map(({ scope, fromMs, toMs }) => ({
      fromMs,
      // The store is stable only `contactMs` after its disturbances.
      toMs: scope === 'store' ? toMs + bounds.contactMs : toMs,
    }))
    .sort((left, right) => left.fromMs - right.fromMs);
}

function isOf(daemon: string, { scope, name }: Disturbance): boolean {
  switch (scope) {
    case 'daemon':
    case 'frozen':
      return name === daemon;
    case 'store':
    case 'stand-ins':
      return true;
    case 'server':
    case 'link':
      return false;
  }
}

/** The processes that a signal ended which must not, before any code of the daemon had run. */
export function endsBeforeCode(lives: readonly DaemonLife[]): readonly DaemonLife[] {
  return lives.filter(({ end }) => end?.cause === 'before-code');
}
