/** The actions of schedules, as fast-check commands. */
import fc from 'fast-check';
import { DAEMONS, ENGINES, type FuzzWorld, type RequestPlan, ZONES } from './world.js';

/** The empty model of fast-check's commands: the oracle checks the outcome instead. */
export type NoModel = Record<string, never>;

/** One action of a schedule: applied to the world, after which virtual time advances. */
class Action implements fc.Command<NoModel, FuzzWorld> {
  constructor(
    private readonly name: string,
    private readonly afterMs: number,
    private readonly act: (world: FuzzWorld) => void,
  ) {}

  check(): boolean {
    return true;
  }

  run(_model: NoModel, world: FuzzWorld): void {
    this.act(world);
    world.fleet.run(this.afterMs);
  }

  toString(): string {
    return `${this.name}, then ${this.afterMs} ms`;
  }
}

const MAX_WAIT_MS = 6_000;
const MAX_PAUSE_MS = 12_000;
const MAX_DOWN_MS = 8_000;

const wait = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 0, max: 300 }) },
  { weight: 1, arbitrary: fc.integer({ min: 300, max: MAX_WAIT_MS }) },
);
const daemonIndex = fc.nat({ max: DAEMONS.length - 1 });
const engineIndex = fc.nat({ max: ENGINES.length - 1 });
const role = fc.constantFrom('prefill', 'decode', 'mixed');

const requestPlan: fc.Arbitrary<RequestPlan> = fc.record({
  daemon: daemonIndex,
  streamed: fc.boolean(),
  repeatable: fc.boolean(),
  adapter: fc.boolean(),
  key: fc.option(fc.nat({ max: 3 }), { freq: 2 }),
  promptRepeats: fc.integer({ min: 1, max: 200 }),
  outputTokens: fc.integer({ min: 1, max: 120 }),
  deadlineMs: fc.constantFrom(500, 5_000, 30_000),
  giveUpAfterMs: fc.option(fc.integer({ min: 10, max: 3_000 }), { freq: 6 }),
});

const sendRequests = fc.tuple(fc.array(requestPlan, { minLength: 1, maxLength: 8 }), wait).map(
  ([plans, afterMs]) =>
    new Action(`send ${JSON.stringify(plans)}`, afterMs, (world) => {
      for (const plan of plans) world.send(plan);
    }),
);

function onDaemon(name: string, act: (world: FuzzWorld, daemon: string) => void) {
  return fc.tuple(daemonIndex, wait).map(([index, afterMs]) => {
    const daemon = DAEMONS[index] ?? DAEMONS[0];
    return new Action(`${name} ${daemon}`, afterMs, (world) => act(world, daemon));
  });
}

const killDaemon = onDaemon('kill', (world, name) => world.fleet.daemon(name)?.kill());
const startDaemon = onDaemon('start', (world, name) => world.fleet.daemon(name)?.start());
const stopDaemon = onDaemon('stop', (world, name) => world.fleet.daemon(name)?.stop());

const pauseDaemon = fc
  .tuple(daemonIndex, fc.integer({ min: 100, max: MAX_PAUSE_MS }), wait)
  .map(([index, pauseMs, afterMs]) => {
    const daemon = DAEMONS[index] ?? DAEMONS[0];
    return new Action(`pause ${daemon} for ${pauseMs} ms`, afterMs, (world) =>
      world.fleet.daemon(daemon)?.pause(pauseMs),
    );
  });

const crashEngine = fc
  .tuple(engineIndex, fc.integer({ min: 100, max: MAX_DOWN_MS }), wait)
  .map(([index, downMs, afterMs]) => {
    const engine = ENGINES[index] ?? ENGINES[0];
    return new Action(`crash ${engine} for ${downMs} ms`, afterMs, (world) => {
      world.oracle.engineCrashed(engine);
      world.fleet.engine(engine)?.crash(downMs);
    });
  });

const leaveEngine = fc.tuple(engineIndex, fc.boolean(), wait).map(([index, leaving, afterMs]) => {
  const engine = ENGINES[index] ?? ENGINES[0];
  return new Action(`${engine} ${leaving ? 'leaves' : 'stays'}`, afterMs, (world) => {
    const node = world.fleet.engine(engine);
    // An engine that is down reports nothing.
    if (node?.isUp === true) {
      node.setLeaving(leaving);
      world.oracle.setLeaving(engine, leaving);
    }
  });
});

const NODES = [...DAEMONS, ...ENGINES, 'platform'] as const;

const cutLink = fc
  .tuple(fc.constantFrom(...NODES), fc.constantFrom(...NODES), fc.boolean(), wait)
  .map(
    ([from, to, bothWays, afterMs]) =>
      new Action(`cut ${from} ${bothWays ? '<' : ''}-> ${to}`, afterMs, (world) => {
        world.fleet.network.cut(from, to);
        if (bothWays) world.fleet.network.cut(to, from);
      }),
  );

const cutZone = fc
  .tuple(fc.constantFrom(...ZONES), wait)
  .map(
    ([zone, afterMs]) =>
      new Action(`cut off ${zone}`, afterMs, (world) => world.fleet.network.cutZone(zone)),
  );

const heal = wait.map(
  (afterMs) => new Action('heal the network', afterMs, (world) => world.fleet.network.heal()),
);

const storeFault = fc
  .tuple(
    fc.constantFrom(
      { down: true },
      { down: false },
      { slowMs: 1_500 },
      { slowMs: 0 },
      { loseAnswers: { kind: 'next', calls: 1 } } as const,
      { loseAnswers: { kind: 'next', calls: 4 } } as const,
      { loseCalls: { kind: 'next', calls: 2 } } as const,
    ),
    wait,
  )
  .map(
    ([fault, afterMs]) =>
      new Action(`store ${JSON.stringify(fault)}`, afterMs, (world) =>
        world.fleet.platform.model.setFaults({ table: fault }),
      ),
  );

const statement = fc.oneof(
  fc.tuple(role, engineIndex).map(([wanted, index]) => `ask role ${wanted} for ${ENGINES[index]}`),
  engineIndex.map((index) => `release role of ${ENGINES[index]}`),
  engineIndex.map((index) => `drain ${ENGINES[index]}`),
  engineIndex.map((index) => `return ${ENGINES[index]}`),
  fc.constantFrom('v1', 'v2', 'v3').map((version) => `roll model labels to ${version}`),
);

const operatorCommand = fc
  .tuple(daemonIndex, statement, wait)
  .map(
    ([daemon, text, afterMs]) =>
      new Action(`daemon ${daemon + 1}: ${text}`, afterMs, (world) => world.command(daemon, text)),
  );

/** All kinds of actions; requests and operator commands are repeated to make them more frequent. */
export const ACTIONS: fc.Arbitrary<fc.Command<NoModel, FuzzWorld>>[] = [
  sendRequests,
  sendRequests,
  sendRequests,
  operatorCommand,
  operatorCommand,
  killDaemon,
  startDaemon,
  stopDaemon,
  pauseDaemon,
  crashEngine,
  leaveEngine,
  cutLink,
  cutZone,
  heal,
  storeFault,
];
