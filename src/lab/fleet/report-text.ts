/** The progress line and the result table of a shift, as text for the terminal. */
import { formatEndpoint } from '../../shell/settings/index.js';
import type { Percentiles } from '../common/duration-histogram.js';
import { type LoadProgress, OUTCOME_KINDS } from '../load/index.js';
import type { RunningFleet } from './running-fleet.js';
import type { ShiftReport } from './shift.js';

const MS_PER_SECOND = 1_000;
const LABEL_WIDTH = 22;

/** One line with the progress of a shift. */
export function progressLine(progress: LoadProgress): string {
  const seconds = (progress.elapsedMs / MS_PER_SECOND).toFixed(0).padStart(3);
  const counts = OUTCOME_KINDS.map((kind) => `${kind} ${progress[kind]}`).join(', ');
  const { phase, sent, inFlight, outputTokens } = progress;
  return `${seconds} s ${phase}: sent ${sent}, in flight ${inFlight}, ${counts}, tokens ${outputTokens}`;
}

/** The result table of a shift. */
export function reportText(fleet: RunningFleet, report: ShiftReport): string {
  const { load, roleChanges } = report;
  const rows: [string, string][] = [
    ['workload', `${load.workload}, seed ${load.seed}`],
    ['duration', `${(load.durationMs / MS_PER_SECOND).toFixed(1)} s`],
    ['sent', String(load.sent)],
    ...OUTCOME_KINDS.map((kind): [string, string] => [kind, String(load.outcomes[kind])]),
    ...codeRows(load.codes),
    ['came back later', String(load.retries)],
    ['goodput', goodputText(report)],
    ['first token', percentilesText(load.firstToken)],
    ['between tokens', percentilesText(load.betweenTokens)],
    ['whole answers', percentilesText(load.wholeAnswer)],
    ['role changes', `${roleChanges.length}${roleChangesText(report)}`],
    ['orders compared', String(report.orders.compared)],
  ];
  return `${rows.map(([label, value]) => row(label, value)).join('\n')}\n${addressesText(fleet)}`;
}

/** The addresses of each daemon for callers and operators. */
export function addressesText(fleet: RunningFleet): string {
  const lines = fleet.daemons.map(({ name, zone, callers, operators }) =>
    row(
      `${name} (${zone})`,
      `callers ${formatEndpoint(callers)}, operators ${formatEndpoint(operators)}`,
    ),
  );
  return lines.join('\n');
}

function row(label: string, value: string): string {
  return `  ${label.padEnd(LABEL_WIDTH)} ${value}`;
}

function codeRows(codes: Readonly<Record<string, number>>): [string, string][] {
  return Object.entries(codes).map(([code, count]) => [`  ${code}`, String(count)]);
}

function goodputText({ load }: ShiftReport): string {
  const { outputTokensPerSecond, requestsPerSecond } = load.goodput;
  return `${outputTokensPerSecond.toFixed(0)} tokens/s, ${requestsPerSecond.toFixed(1)} requests/s`;
}

function percentilesText({ count, p50Ms, p95Ms }: Percentiles): string {
  if (p50Ms === null || p95Ms === null) return 'none measured';
  return `p50 ${p50Ms.toFixed(1)} ms, p95 ${p95Ms.toFixed(1)} ms (${count})`;
}

function roleChangesText({ roleChanges }: ShiftReport): string {
  return roleChanges
    .map(({ engine, from, to, atMs }) => {
      const seconds = (atMs / MS_PER_SECOND).toFixed(1);
      return `\n${' '.repeat(LABEL_WIDTH + 3)}${seconds} s ${engine}: ${from} to ${to}`;
    })
    .join('');
}
