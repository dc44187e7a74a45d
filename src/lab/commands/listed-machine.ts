/** Shared by the commands that run one process of a fleet: the ready line and handling of stop signals. */
import type { Writable } from 'node:stream';
import { setTimeout as wait } from 'node:timers/promises';
import type { Endpoint, Machine } from '../../core/registry/backend.js';
import type { MachineRegistration } from '../platform/index.js';

/** SIGTERM: stop after notice and drain. SIGINT: stop at once. */
export type StopSignal = 'SIGTERM' | 'SIGINT';
const STOP_SIGNALS: readonly StopSignal[] = ['SIGTERM', 'SIGINT'];

/** How long a leaving machine accepts requests of daemons that do not know yet that it is leaving. */
export const DEFAULT_LEAVE_NOTICE_MS = '4000';
/** How long a leaving machine waits for its requests after the notice. */
const LEAVE_GRACE_MS = 30_000;
const IDLE_CHECK_MS = 50;

/** Prints the line that tells the runner of a fleet that this process listens, and where. */
export function printReady(stdout: Writable, endpoint: Endpoint): void {
  const { address, port } = endpoint;
  stdout.write(`${JSON.stringify({ ready: true, address, port })}\n`);
}

/** Resolves at the first stop signal. A second one ends the process at once, by the default action. */
export function waitForStopSignal(): Promise<StopSignal> {
  return new Promise((resolve) => {
    const stop = (name: NodeJS.Signals): void => {
      for (const signal of STOP_SIGNALS) process.off(signal, stop);
      resolve(name === 'SIGINT' ? 'SIGINT' : 'SIGTERM');
    };
    for (const signal of STOP_SIGNALS) process.on(signal, stop);
  });
}

/** A machine that is on the machine list while it runs. */
export interface ListedMachine {
  readonly machine: Machine;
  /** Null when the machine was started without a platform. */
  readonly list: MachineRegistration | null;
  /** Makes the machine report, when it is polled, that it is leaving. */
  readonly markLeaving: () => void;
  /** How long the machine still accepts requests after SIGTERM. */
  readonly leaveNoticeMs: number;
  /** The number of requests that have not ended. */
  readonly active: () => number;
}

/** Runs a listed machine until a stop signal; on SIGTERM it drains before it returns. */
export async function runListedMachine(stdout: Writable, listed: ListedMachine): Promise<void> {
  const { machine, list } = listed;
  await list?.put(machine);
  printReady(stdout, machine);
  if ((await waitForStopSignal()) === 'SIGTERM') {
    listed.markLeaving();
    await list?.put({ ...machine, state: 'leaving' }).catch(() => undefined);
    await wait(listed.leaveNoticeMs);
    await drained(listed.active);
  }
  await list?.remove(machine.name);
}

/** Resolves when no request is active, at the latest after `LEAVE_GRACE_MS`. */
async function drained(active: () => number): Promise<void> {
  const until = performance.now() + LEAVE_GRACE_MS;
  while (active() > 0 && performance.now() < until) await wait(IDLE_CHECK_MS);
}
