/** The page of a report: one self-contained HTML document that loads no external resources. */
import type { ExperimentResult } from '../experiment/index.js';

/** The content of the page. */
export interface ReportContent {
  readonly about: string;
  readonly results: readonly ExperimentResult[];
  /** The rendered plots. */
  readonly svg: string;
}

const COLUMNS: readonly [string, (result: ExperimentResult) => string][] = [
  ['policy', ({ policy }) => policy],
  ['goodput, tokens/s', ({ goodput }) => goodput.tokens_per_second.toFixed(1)],
  ['of offered', (result) => shareOfOffered(result)],
  ['requests/s', ({ goodput }) => goodput.requests_per_second.toFixed(2)],
  ['role changes', ({ role_changes }) => String(role_changes)],
  ['finished', ({ finished }) => String(finished)],
  ['refused', ({ refused }) => String(refused)],
  ['unknown', ({ unknown }) => String(unknown)],
  ['cut', ({ cut }) => String(cut)],
  ['wrong', ({ wrong }) => String(wrong)],
  ['first token p50 / p95 / p99, ms', ({ first_token }) => percentilesText(first_token)],
  ['between tokens p50 / p95 / p99, ms', ({ between_tokens }) => percentilesText(between_tokens)],
];

/** The complete page as HTML. */
export function reportPage({ about, results, svg }: ReportContent): string {
  const [first] = results;
  const title = `${first?.scenario ?? ''}, seed ${first?.seed ?? ''}`;
  const head = COLUMNS.map(([name]) => `<th>${escaped(name)}</th>`).join('');
  const body = results.map((result) => `<tr>${cells(result)}</tr>`).join('\n');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escaped(title)}</title>
<style>
body { font: 14px sans-serif; margin: 24px; max-width: 1100px; }
table { border-collapse: collapse; margin: 16px 0; font-size: 12px; }
th, td { border: 1px solid #ccc; padding: 3px 6px; text-align: right; }
th:first-child, td:first-child { text-align: left; }
</style>
</head>
<body>
<h1>${escaped(title)}</h1>
<p>${escaped(about)}</p>
<table>
<tr>${head}</tr>
${body}
</table>
${svg}
</body>
</html>
`;
}

function cells(result: ExperimentResult): string {
  return COLUMNS.map(([, text]) => `<td>${escaped(text(result))}</td>`).join('');
}

function shareOfOffered({ goodput, offered }: ExperimentResult): string {
  if (offered.tokens_per_second === 0) return '–';
  return `${((100 * goodput.tokens_per_second) / offered.tokens_per_second).toFixed(1)} %`;
}

function percentilesText({ p50Ms, p95Ms, p99Ms }: ExperimentResult['first_token']): string {
  return [p50Ms, p95Ms, p99Ms].map((value) => value?.toFixed(0) ?? '–').join(' / ');
}

function escaped(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}
