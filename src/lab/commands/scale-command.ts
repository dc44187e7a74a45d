/** `threadfork-lab scale`: measures a daemon's control-plane cost at several fleet sizes and fits lines. */
import { fileURLToPath } from 'node:url';
import { Command, Option, UsageError } from 'clipanion';
import { fitLine, type LinearFit } from '../hollow/linear-fit.js';
import { type DaemonCost, runScale, type ScaleResult } from '../hollow/scale-run.js';
import { EXIT_DONE } from './exit-codes.js';
import { LabCommand } from './lab-command.js';
import { numberOption } from './options.js';

const LAB_SCRIPT = fileURLToPath(new URL('../main.js', import.meta.url));
const MAX_DAEMONS = 400;
const MAX_ENGINES = 1_000;
const MAX_SECONDS = 600;
const MILLISECONDS_PER_SECOND = 1_000;

type CostFigure = Exclude<keyof DaemonCost, 'processes' | 'daemons'>;
const COST_FIGURES: readonly CostFigure[] = [
  'cpuShare',
  'residentBytes',
  'tcpBytesPerSecond',
  'peerBytesPerSecond',
];

/** Runs a fleet at each size and fits lines over the number of daemons. */
export class ScaleCommand extends LabCommand {
  static override paths = [['scale']];
  static override usage = Command.Usage({
    description: 'Measure the control-plane cost of a daemon at several fleet sizes.',
    details: `
      Hollow daemons and engines share processes; some daemons have their own. All communicate over
      real TCP and UDP on loopback. No caller sends requests: only the control plane is measured.
    `,
    examples: [
      ['Three sizes', '$0 scale --daemons 10,20,40 --engines 24,48,96 --json'],
      ['One size', '$0 scale --daemons 20 --engines 48'],
    ],
  });

  daemons = Option.String('--daemons', '10,20,40', {
    description: 'comma-separated numbers of daemons',
  });
  engines = Option.String('--engines', '24,48,96', {
    description: 'comma-separated numbers of engines, one for each size',
  });
  zones = Option.String('--zones', '5', { description: 'zones' });
  realDaemons = Option.String('--real', '2', {
    description: 'number of daemons with their own process',
  });
  settleSeconds = Option.String('--settle', '5', { description: 'seconds before measuring' });
  measureSeconds = Option.String('--measure', '20', { description: 'seconds of measuring' });
  json = Option.Boolean('--json', false, { description: 'print JSON' });

  protected override async runCommand(): Promise<number> {
    const daemons = sizes('--daemons', this.daemons, MAX_DAEMONS);
    const engines = sizes('--engines', this.engines, MAX_ENGINES);
    if (daemons.length !== engines.length) {
      throw new UsageError('--engines: give as many numbers as --daemons has.');
    }
    const runs: ScaleResult[] = [];
    for (const [index, count] of daemons.entries()) {
      this.context.stderr.write(`${count} daemons and ${engines[index]} engines\n`);
      runs.push(await this.runSize(count, engines[index] ?? 0));
    }
    const report = { runs, lines: linesOf(runs) };
    this.context.stdout.write(`${JSON.stringify(report, null, this.json ? 0 : 2)}\n`);
    return EXIT_DONE;
  }

  private runSize(daemons: number, engines: number): Promise<ScaleResult> {
    return runScale({
      daemons,
      engines,
      zones: numberOption('--zones', this.zones, 1, MAX_DAEMONS),
      realDaemons: numberOption('--real', this.realDaemons, 0, MAX_DAEMONS),
      settleMs: seconds('--settle', this.settleSeconds),
      measureMs: seconds('--measure', this.measureSeconds),
      labScript: LAB_SCRIPT,
    });
  }
}

function seconds(flag: string, text: string): number {
  return numberOption(flag, text, 0, MAX_SECONDS) * MILLISECONDS_PER_SECOND;
}

function sizes(flag: string, text: string, max: number): readonly number[] {
  return text.split(',').map((part) => numberOption(flag, part, 1, max));
}

type Lines = Readonly<Record<CostFigure, LinearFit | null>>;

function linesOf(runs: readonly ScaleResult[]): {
  readonly real: Lines;
  readonly hollow: Lines;
} {
  return { real: linesOfKind(runs, 'real'), hollow: linesOfKind(runs, 'hollow') };
}

function linesOfKind(runs: readonly ScaleResult[], kind: 'real' | 'hollow'): Lines {
  const measured = runs.filter((run) => run[kind].daemons > 0);
  const lineOf = (figure: CostFigure): LinearFit | null =>
    fitLine(measured.map((run) => ({ x: run.daemons, y: run[kind][figure] })));
  return Object.fromEntries(COST_FIGURES.map((figure) => [figure, lineOf(figure)])) as Lines;
}
