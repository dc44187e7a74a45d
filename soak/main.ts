#!/usr/bin/env node
/**
 * Entry point of the soak test: runs gateway processes under injected faults and judges them by the fleet's promises.
 */
import { Builtins, Cli, Command, Option } from 'clipanion';
import { planCrowds } from './crowd-plan.js';
import { planDatagrams } from './datagram-plan.js';
import { planDepartures } from './departure-plan.js';
import { planGarble } from './garble-plan.js';
import { MUTATIONS } from './mutations.js';
import { planNetworks } from './network-plan.js';
import type { Violation } from './oracle.js';
import { planParts } from './part-plan.js';
import {
  planCopies,
  planCuts,
  planHerd,
  planOutages,
  planSoak,
  planUpgrade,
  type SoakPlan,
  type SoakSize,
} from './plan.js';
import { planReleases } from './release-plan.js';
import { runSoak, type SoakPrograms, type SoakResult } from './run.js';
import { planSkews } from './skew-plan.js';
import { planStarts } from './start-plan.js';
import { planStops } from './stop-plan.js';

const EXIT_BROKEN = 1;
const EXIT_UNUSABLE = 2;
const EXIT_INTERRUPTED = 130;
const REQUESTS_PER_DAEMON = 8;
/** Maximum number of violations printed per run. */
const MAX_VIOLATIONS_SHOWN = 12;
const BYTES_PER_MEGABYTE = 1_048_576;

/** The validated command line. */
interface SoakOptions {
  readonly firstSeed: number;
  readonly seeds: number;
  readonly size: SoakSize;
  readonly planOf: (seed: number, size: SoakSize) => SoakPlan;
  readonly programs: SoakPrograms;
}

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run gateway processes under random faults and judge them by their promises.',
    details: `
      The plan of faults comes from the seed and is printed first. Exit code 0: no promise was broken; 1: one was,
      and the directory with the logs of the daemons is printed.
    `,
    examples: [
      ['A minute of a seed', '$0 --seconds 60 --seed 7'],
      ['Ten seeds of half a minute', '$0 --seconds 30 --seed 100 --seeds 10'],
      ['All processes killed together, twice', '$0 --plan herd --daemons 59 --seconds 26 --seed 1'],
      [
        'The store away for long',
        '$0 --plan outages --daemons 60 --rate 120 --seconds 90 --seed 1',
      ],
      ['Show that a fault would be found', '$0 --seconds 30 --seed 7 --without budget'],
    ],
  });

  seconds = Option.String('--seconds', '30', { description: 'traffic of each run' });
  seed = Option.String('--seed', '1', { description: 'seed of the first run' });
  seeds = Option.String('--seeds', '1', { description: 'how many seeds, one after another' });
  daemons = Option.String('--daemons', '9', { description: 'gateway processes' });
  rate = Option.String('--rate', { description: 'requests a second of all callers' });
  plan = Option.String('--plan', 'mixed', {
    description:
      'mixed, herd, outages, copies, cuts, upgrade, releases, departures, parts, skews, networks, datagrams, garble, starts, stops or crowds',
  });
  earlier = Option.String('--earlier', {
    description: "an earlier release's program, run by each daemon until it is first started again",
  });
  without = Option.String('--without', { description: 'a protection to take away' });

  override async execute(): Promise<number> {
    const options = this.#options();
    let broken = 0;
    for (let seed = options.firstSeed; seed < options.firstSeed + options.seeds; seed += 1) {
      const plan = options.planOf(seed, options.size);
      for (const { atMs, fault } of plan.faults) {
        this.context.stdout.write(`# ${seed} ${atMs} ms ${JSON.stringify(fault)}\n`);
      }
      const result = await runSoak(plan, options.programs);
      this.context.stdout.write(reportOf(seed, result));
      if (result.violations.length > 0) broken += 1;
    }
    return broken > 0 ? EXIT_BROKEN : 0;
  }

  #options(): SoakOptions {
    const mutation = MUTATIONS.find(({ name }) => name === this.without);
    if (this.without !== undefined && mutation === undefined) {
      const names = MUTATIONS.map(({ name }) => name).join(', ');
      throw new Error(`--without: found ${this.without}; give one of ${names}`);
    }
    const plans = {
      mixed: planSoak,
      herd: planHerd,
      outages: planOutages,
      copies: planCopies,
      cuts: planCuts,
      upgrade: planUpgrade,
      releases: planReleases,
      departures: planDepartures,
      parts: planParts,
      skews: planSkews,
      garble: planGarble,
      networks: planNetworks,
      datagrams: planDatagrams,
      starts: planStarts,
      stops: planStops,
      crowds: planCrowds,
    };
    const planOf = plans[this.plan as keyof typeof plans];
    if (planOf === undefined)
      throw new Error(`--plan: found ${this.plan}; give one of ${Object.keys(plans).join(', ')}`);
    return {
      firstSeed: wholeNumber('--seed', this.seed),
      seeds: wholeNumber('--seeds', this.seeds),
      size: this.#size(),
      planOf,
      programs: { mutation, earlierProgram: this.earlier },
    };
  }

  #size(): SoakSize {
    const daemons = wholeNumber('--daemons', this.daemons);
    return {
      seconds: wholeNumber('--seconds', this.seconds),
      daemons,
      engines: Math.max(6, Math.round(daemons * 0.7)),
      webServers: 4,
      requestsPerSecond:
        this.rate === undefined ? daemons * REQUESTS_PER_DAEMON : wholeNumber('--rate', this.rate),
    };
  }
}

function wholeNumber(option: string, text: string): number {
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new Error(`${option}: found ${text}; give a whole number`);
}

/** How often each promise was broken; empty if none was. */
function countsByPromise(violations: readonly Violation[]): string {
  if (violations.length === 0) return '';
  const promises = [...new Set(violations.map(({ promise }) => promise))];
  const counts = promises.map(
    (name) => `${name} ${violations.filter(({ promise }) => promise === name).length}`,
  );
  return ` (${counts.join(', ')})`;
}

/** What became of crowds and how much memory processes took; empty for plans without crowds. */
function crowdLines({ crowds, peakResidentBytes }: SoakResult): readonly string[] {
  if (crowds.opened === 0) return [];
  const answers = [...crowds.statuses].map(([status, count]) => `${status} ${count}`).join(', ');
  return [
    `  connections of crowds: ${crowds.opened}, closed by daemons ${crowds.closed}; first answers: ${answers}`,
    `  the most memory that a process took: ${Math.ceil(peakResidentBytes / BYTES_PER_MEGABYTE)} MB`,
  ];
}

function reportOf(seed: number, result: SoakResult): string {
  const { violations, ends, crashes, crashesByPart, reports, budgets, directory } = result;
  const { worstLagMs, worstAcceptMs, heldUpArrivals, endsBeforeCode } = result;
  const calls = [...ends].map(([how, count]) => `${how} ${count}`).join(', ');
  const lines = [
    `seed ${seed}: ${violations.length} broken${countsByPromise(violations)}; calls ended: ${calls}; ${reports} usage reports`,
    `  servers that ended under each request that ends servers: ${crashes.join(', ')}`,
    `  servers that ended under each part of prompts that ends servers: ${crashesByPart.join(', ')}`,
    `  the stand-ins were late by ${worstLagMs} ms at worst`,
    `  connections to them waited ${worstAcceptMs} ms at worst until they were accepted`,
    `  requests of callers that had left and were late by that alone: ${heldUpArrivals}`,
    `  processes that SIGHUP ended before any code of the daemon had run: ${endsBeforeCode}`,
    ...result.stops.map((line) => `  ${line}`),
    ...crowdLines(result),
    ...budgets.map(
      ({ service, repeats, allowed }) =>
        `  repeats of ${service} in the worst window: ${repeats} of ${Math.floor(allowed)}`,
    ),
    ...violations
      .slice(0, MAX_VIOLATIONS_SHOWN)
      .map(
        ({ promise, atMs, detail }) => `  BROKEN ${promise} at ${Math.round(atMs)} ms: ${detail}`,
      ),
    ...(violations.length > 0 ? [`  logs of the daemons: ${directory}`] : []),
  ];
  return `${lines.join('\n')}\n`;
}

const cli = new Cli({ binaryLabel: 'threadfork soak', binaryName: 'soak' });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
// A run kills its daemons on the `exit` event of this process, so signals have to lead to a regular exit.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(EXIT_INTERRUPTED));
}
process.exit(await runCommand(process.argv.slice(2)));

/** Runs the command; prints any error that prevents the soak from running as one line. */
async function runCommand(args: string[]): Promise<number> {
  try {
    if (args.some((arg) => arg === '--help' || arg === '-h')) {
      return await cli.run(args, Cli.defaultContext);
    }
    const command = cli.process(args, Cli.defaultContext);
    return (await command.execute()) ?? 0;
  } catch (error) {
    const [line] = String(error instanceof Error ? error.message : error).split('\n');
    process.stderr.write(`soak: ${line?.replace(/\.+$/, '')}. Try \`npm run soak -- --help\`.\n`);
    return EXIT_UNUSABLE;
  }
}
