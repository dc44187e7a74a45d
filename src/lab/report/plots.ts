/**
 * The plots of a report as plain vega-lite: goodput, request mix, roles, queues and latencies of runs
 * with one seed, stacked on a common time axis.
 */
import type { CoursePoint, ExperimentResult } from '../experiment/index.js';

/** A vega-lite specification; plain JSON. */
export type PlotSpecification = Readonly<Record<string, unknown>>;

const WIDTH = 860;
const HEIGHT = 130;
/** The maximum number of points on the time axis; more points are averaged in groups. */
const MAX_POINTS = 160;
const SECONDS_PER_MINUTE = 60;
const ROLE_ORDER = ['prefill', 'mixed', 'decode', 'away'] as const;
const ROLE_COLOURS = ['#4c78a8', '#b8b8b8', '#f58518', '#e45756'] as const;

interface Row {
  readonly minute: number;
  readonly series: string;
  readonly value: number;
}

/** One specification that contains all plots. */
export function plots(results: readonly ExperimentResult[]): PlotSpecification {
  const duration = Math.max(...results.map(({ duration_s }) => duration_s)) / SECONDS_PER_MINUTE;
  const policies = results.map(({ policy }) => policy);
  const byPolicy = (value: (point: CoursePoint) => number | null): Row[] =>
    results.flatMap(({ policy, course }) => rows(course, policy, value));
  const line = (title: string, values: readonly Row[], scale: 'linear' | 'symlog' = 'linear') =>
    linePlot({ title, values, scale, duration, series: policies, legend: 'policy' });
  const [first] = results;
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    background: 'white',
    config: { axis: { titleFontWeight: 'normal', grid: true, gridOpacity: 0.4 } },
    vconcat: [
      line(
        'Goodput, output tokens/s',
        byPolicy((point) => point.finished_tokens_per_second),
      ),
      ...(first === undefined ? [] : [mixPlot(first, duration)]),
      ...results.map((result) => rolePlot(result, duration)),
      line(
        'Requests waiting',
        byPolicy(({ waiting, queued }) => waiting + queued),
      ),
      line(
        'First token, p95 in s',
        byPolicy((point) => inSeconds(point.first_token_p95_ms)),
        'symlog',
      ),
      line(
        'Between tokens, p95 in s',
        byPolicy((point) => inSeconds(point.between_tokens_p95_ms)),
        'symlog',
      ),
    ],
    resolve: { scale: { color: 'independent' } },
  };
}

interface LinePlot {
  readonly title: string;
  readonly values: readonly Row[];
  readonly scale: 'linear' | 'symlog' | 'log';
  readonly duration: number;
  readonly series: readonly string[];
  readonly legend: string;
}

function linePlot({ title, values, scale, duration, series, legend }: LinePlot): PlotSpecification {
  return {
    width: WIDTH,
    height: HEIGHT,
    data: { values },
    mark: { type: 'line', strokeWidth: 1.4, interpolate: 'monotone' },
    encoding: {
      x: timeAxis(duration),
      y: { field: 'value', type: 'quantitative', title, scale: { type: scale } },
      color: { field: 'series', type: 'nominal', title: legend, scale: { domain: series } },
    },
  };
}

function mixPlot({ course }: ExperimentResult, duration: number): PlotSpecification {
  const values = [
    ...rows(course, 'prompt', (point) => point.arrived_prompt_tokens_per_second),
    ...rows(course, 'output', (point) => point.arrived_output_tokens_per_second),
  ];
  const series = ['prompt', 'output'];
  const title = 'Asked for, tokens/s';
  const shown = values.filter(({ value }) => value > 0);
  return linePlot({ title, values: shown, scale: 'log', duration, series, legend: 'mix' });
}

function rolePlot({ policy, course }: ExperimentResult, duration: number): PlotSpecification {
  const values = ROLE_ORDER.flatMap((role) => rows(course, role, ({ roles }) => roles[role]));
  return {
    width: WIDTH,
    height: HEIGHT / 2,
    title: { text: `Roles: ${policy}`, anchor: 'start', fontSize: 11, fontWeight: 'normal' },
    data: { values },
    mark: { type: 'area', interpolate: 'step-after' },
    encoding: {
      x: timeAxis(duration),
      y: { field: 'value', type: 'quantitative', stack: 'zero', title: 'Engines' },
      color: {
        field: 'series',
        type: 'nominal',
        title: 'role',
        scale: { domain: ROLE_ORDER, range: ROLE_COLOURS },
      },
    },
  };
}

function timeAxis(duration: number) {
  const scale = { domain: [0, duration], nice: false };
  return { field: 'minute', type: 'quantitative', title: 'Minutes', scale };
}

/** One series, averaged over groups of neighbouring points; groups without a value are left out. */
function rows(
  course: readonly CoursePoint[],
  series: string,
  value: (point: CoursePoint) => number | null,
): Row[] {
  const size = Math.max(1, Math.ceil(course.length / MAX_POINTS));
  const averaged: Row[] = [];
  for (let start = 0; start < course.length; start += size) {
    const group = course.slice(start, start + size);
    const values = group.map(value).filter((each) => each !== null);
    const last = group.at(-1);
    if (values.length === 0 || last === undefined) continue;
    const mean = values.reduce((sum, each) => sum + each, 0) / values.length;
    averaged.push({ minute: last.at_s / SECONDS_PER_MINUTE, series, value: mean });
  }
  return averaged;
}

function inSeconds(milliseconds: number | null): number | null {
  return milliseconds === null ? null : milliseconds / 1_000;
}
