/** The simulated fleet that schedules run on, with its oracle. */
import { configurationSchema } from '../src/core/configuration/document.js';
import { resourceOfPool } from '../src/core/controller/index.js';
import { epochKey } from '../src/core/lease/index.js';
import { type IntentRow, intentKey } from '../src/core/orders/index.js';
import { DEFAULT_POOL } from '../src/core/registry/backend.js';
import { Oracle, SimulatedFleet } from '../src/lab/simulation/index.js';

/** Zones of the fuzzed fleet; every daemon and engine is in one of them. */
export const ZONES = ['zone-a', 'zone-b'] as const;
/** Daemons by index. */
export const DAEMONS = ['daemon-1', 'daemon-2', 'daemon-3'] as const;
/** Engines by index. */
export const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4'] as const;

const MODEL = 'labels';
const ADAPTER = 'latin';
const WARM_UP_MS = 6_000;
/** After the last action all faults are healed, and the fleet has this long to end all requests. */
const SETTLE_MS = 90_000;
/** Short, so that a schedule contains several changes; the protocol's own durations are unchanged. */
const ENGINE_DURATIONS = { roleChangeMs: 1_500, loadMs: 2_000, kvHandleTtlMs: 30_000 };

/** A fleet that a schedule acts on. */
export class FuzzWorld {
  readonly oracle = new Oracle();
  readonly fleet: SimulatedFleet;
  #requests = 0;
  #changes = 0;

  constructor(seed: number) {
    this.fleet = new SimulatedFleet(
      {
        seed,
        daemons: DAEMONS.map((name, index) => ({ name, zone: zoneOf(index) })),
        engines: ENGINES.map((name, index) => ({
          name,
          zone: zoneOf(index),
          role: 'mixed' as const,
          accelerator: index % 2 === 0 ? ('new' as const) : ('old' as const),
          models: [
            { model: MODEL, version: 'v1', adapters: [{ adapter: ADAPTER, version: 'v1' }] },
          ],
          ...ENGINE_DURATIONS,
        })),
      },
      this.oracle,
    );
    this.oracle.attach({
      now: () => this.fleet.clock.now,
      storedEpoch: () => this.#epoch(),
      intendedOrder: (engine) => this.#intended(engine),
    });
    this.#warmUp();
  }

  /** Sends a request to a daemon. */
  send(plan: RequestPlan): void {
    const daemon = this.fleet.daemon(DAEMONS[plan.daemon % DAEMONS.length] ?? DAEMONS[0]);
    if (daemon === undefined) {
      return;
    }
    this.#requests += 1;
    const now = this.fleet.clock.now;
    const prompt = `prompt ${plan.key ?? this.#requests} `.repeat(plan.promptRepeats);
    this.fleet.callers.send(
      {
        prompt,
        outputTokens: plan.outputTokens,
        issuedAt: now,
        description: {
          id: `request-${this.#requests}`,
          tenant: 'tenant',
          className: 'interactive',
          target: {
            kind: 'model',
            model: MODEL,
            adapter: plan.adapter ? ADAPTER : null,
            promptTokens: Math.ceil(prompt.length / 4),
            maxOutputTokens: plan.outputTokens,
            prefixHashes: [],
          },
          streamed: plan.streamed,
          repeatable: plan.repeatable,
          idempotencyKey: plan.key === null ? null : `key-${plan.key}`,
          bodyDigest: plan.key === null ? null : `body-${plan.key}-${plan.outputTokens}`,
          arrivedAt: now,
          deadline: now + plan.deadlineMs,
        },
      },
      daemon,
      plan.giveUpAfterMs,
    );
  }

  /** Submits an operator's statement to a daemon. */
  command(daemonIndex: number, text: string): void {
    const daemon = this.fleet.daemon(DAEMONS[daemonIndex % DAEMONS.length] ?? DAEMONS[0]);
    this.#changes += 1;
    if (daemon?.isUp === true) {
      this.fleet.command(daemon, `change-${this.#changes}`, text, () => {});
    }
  }

  /** Heals all faults, lets the fleet settle and checks that every request has its answer. */
  finish(): void {
    const { fleet } = this;
    fleet.network.heal();
    fleet.platform.model.setFaults({
      table: {
        down: false,
        slowMs: 0,
        slowAnswerMs: 0,
        loseAnswers: { kind: 'none' },
        loseCalls: { kind: 'none' },
      },
    });
    for (const daemon of fleet.daemons()) {
      daemon.start();
    }
    fleet.run(SETTLE_MS);
    this.oracle.checkAllAnswered();
  }

  #warmUp(): void {
    const [first] = this.fleet.daemons();
    const document = configurationSchema.parse({
      models: { [MODEL]: { version: 'v1', adapters: { [ADAPTER]: { version: 'v1' } } } },
      classes: { interactive: { priority: 1, deadlineMs: 30_000 } },
      tenants: { tenant: { class: 'interactive' } },
      anonymousTenant: 'tenant',
    });
    this.fleet.run(WARM_UP_MS / 2);
    if (first !== undefined) {
      this.fleet.putDocument(first, 'initial', document, () => {});
    }
    this.fleet.run(WARM_UP_MS / 2);
  }

  #epoch(): number {
    const [row] = this.fleet.platform.model.table.get([epochKey(resourceOfPool(DEFAULT_POOL))]);
    const value = row?.value as { readonly epoch: number } | null | undefined;
    return value?.epoch ?? 0;
  }

  #intended(engine: string): string | null {
    const [row] = this.fleet.platform.model.table.get([intentKey(engine)]);
    const value = row?.value as IntentRow | null | undefined;
    return value?.orderId ?? null;
  }
}

/** A request to send. */
export interface RequestPlan {
  readonly daemon: number;
  readonly streamed: boolean;
  readonly repeatable: boolean;
  readonly adapter: boolean;
  /** The number of the idempotency key, which requests may share; null for none. */
  readonly key: number | null;
  readonly promptRepeats: number;
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly giveUpAfterMs: number | null;
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0];
}
