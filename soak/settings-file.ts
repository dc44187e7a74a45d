/** The settings file of one daemon, which faults may spoil as a writer does that is not atomic. */
import { rmSync, writeFileSync } from 'node:fs';
import type { MachineLimits } from './plan.js';
import type { SoakBounds } from './record.js';
import type { SettingsFlaw } from './start-fault.js';

/** The ports of a daemon; each daemon has a loopback address of its own. */
export const DAEMON_PORTS = {
  callers: 8_144,
  readiness: 8_140,
  metrics: 9_464,
  peers: 7_660,
  /** Where a link before the daemon takes its datagrams. */
  datagramLink: 7_661,
} as const;
const LEASE_MS = 3_000;
const USAGE_WINDOW_SECONDS = 5;

/** What the settings of a daemon say. */
export interface DaemonSettings {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly storePort: number;
  readonly dutyPort: number;
  readonly bounds: SoakBounds;
  readonly machine: MachineLimits | undefined;
}

export class SettingsFile {
  readonly path: string;
  readonly #text: string;

  /** Writes the file. */
  constructor(path: string, settings: DaemonSettings) {
    this.path = path;
    this.#text = settingsText(settings);
    this.write();
  }

  write(): void {
    writeFileSync(this.path, this.#text);
  }

  /** @param keptShare share of the text that a file holds which is cut short */
  spoil(flaw: SettingsFlaw, keptShare: number): void {
    switch (flaw) {
      case 'missing':
        rmSync(this.path, { force: true });
        return;
      case 'empty':
        writeFileSync(this.path, '');
        return;
      case 'cut':
        writeFileSync(this.path, this.#text.slice(0, Math.floor(this.#text.length * keptShare)));
        return;
    }
  }
}

function settingsText(settings: DaemonSettings): string {
  const { name, zone, host, storePort, dutyPort, bounds, machine } = settings;
  return [
    `name: ${name}`,
    `zone: ${zone}`,
    'listen:',
    `  callers: ${host}:${DAEMON_PORTS.callers}`,
    `  readiness: ${host}:${DAEMON_PORTS.readiness}`,
    `  metrics: ${host}:${DAEMON_PORTS.metrics}`,
    `  peers: ${host}:${DAEMON_PORTS.peers}`,
    `store: 127.0.0.1:${storePort}`,
    'duties:',
    `  address: 127.0.0.1:${dutyPort}`,
    `  usageWindowSeconds: ${USAGE_WINDOW_SECONDS}`,
    '  usageDueSeconds: 10',
    ...limitLines(machine),
    'bounds:',
    `  contactMs: ${bounds.contactMs}`,
    `  stopGraceSeconds: ${bounds.graceMs / 1_000}`,
    `  leaseMs: ${LEASE_MS}`,
    `  drainMs: ${bounds.drainMs}`,
    'retryBudget:',
    `  ratio: ${bounds.budgetRatio}`,
    `  slack: ${bounds.budgetSlack}`,
    'logging:',
    '  maxLinesPerSecond: 200',
    '',
  ].join('\n');
}

function limitLines(machine: MachineLimits | undefined): readonly string[] {
  if (machine === undefined) return [];
  const { memoryMb, descriptors } = machine;
  return ['limits:', `  memoryMb: ${memoryMb}`, `  descriptors: ${descriptors}`];
}
