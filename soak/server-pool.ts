/**
 * The servers of a run with their links and their entries in the store. Servers crash, leave and return under other
 * ids.
 */
import { TABLES } from '../platform/names.js';
import type { AcceptMonitor } from './accept-monitor.js';
import { MODEL, WEB_SERVICES } from './configuration.js';
import type { DaemonLinks } from './daemon-links.js';
import { LinkProxy } from './link-proxy.js';
import { ModelServer, type ServerObserver, type Stage } from './model-server.js';
import { DEFAULT_SLOTS, type ServerTraits } from './plan.js';
import type { PlatformStore } from './platform-store.js';
import type { ServingSpan } from './record.js';
import { EVENT_GAP_MS, FIRST_SOFTWARE_VERSION } from './response-bodies.js';

export const ZONES = ['a', 'b', 'c'] as const;
/** Every third engine is a prefill engine. */
const ENGINES_PER_PREFILL = 3;
/** The entry of a crashed server is removed after three missed heartbeats. */
export const ENTRY_LAPSE_MS = 3_600;

const STRAY = { service: MODEL, address: '127.0.0.1:9', zone: 'a', slots: 24, state: 'ready' };
const STRAY_ROWS: readonly unknown[] = [
  null,
  [],
  'a server',
  { ...STRAY, state: 'sleeping', stage: 'decode' },
  { ...STRAY, stage: 'rest' },
  { ...STRAY, slots: 'many', stage: 'decode' },
  { ...STRAY, address: undefined, stage: 'decode' },
  { ...STRAY, born: 'yesterday', stage: 'decode' },
  { ...STRAY, service: 'nobody', stage: 'decode' },
  // Addresses that no connection or header can carry, for engines and web servers.
  { ...STRAY, address: '127.0.\ufffd.1:9', stage: 'decode' },
  { ...STRAY, address: '127.0.0.1:70000', stage: 'prefill' },
  { ...STRAY, address: '127.0.0.1:70000' },
];

/** A key that sorts between the ids of servers. */
function strayKey(index: number): string {
  return `${MODEL}-1-stray-${index}`;
}

/** A server, its link, and the state of its entry in the store. */
export interface PooledServer {
  readonly server: ModelServer;
  readonly link: LinkProxy;
  readonly zone: string;
  isDraining: boolean;
  /** Whether the server reports in its responses that it leaves; its entry may follow later. */
  isLeaving: boolean;
}

export interface ServerPoolOptions {
  readonly engines: number;
  readonly webServers: number;
  readonly traits: ServerTraits;
  readonly store: PlatformStore;
  readonly accepts: AcceptMonitor;
  /** Undefined unless daemons have paths of their own to the servers. */
  readonly daemonLinks: DaemonLinks | undefined;
  readonly random: () => number;
  readonly observer: ServerObserver;
}

/** All servers of a run; engines come first. */
export class ServerPool {
  readonly servers: PooledServer[] = [];
  readonly #options: ServerPoolOptions;
  readonly #listedIds = new Set<string>();
  readonly #unlistedIds = new Set<string>();

  constructor(options: ServerPoolOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { engines, webServers } = this.#options;
    const handles = new Map<string, string>();
    for (let engine = 0; engine < engines; engine += 1) {
      const stage = engine % ENGINES_PER_PREFILL === 0 ? 'prefill' : 'decode';
      await this.#add(MODEL, stage, handles);
    }
    for (let web = 0; web < webServers; web += 1) {
      const service = WEB_SERVICES[web % WEB_SERVICES.length] ?? WEB_SERVICES[0];
      await this.#add(service, undefined, handles);
    }
  }

  close(): void {
    for (const { server, link } of this.servers) {
      link.close();
      server.crash();
    }
  }

  /** Writes the current state of a server to its entry. */
  list(server: PooledServer): void {
    this.#write(server, server.isDraining ? 'draining' : 'ready');
  }

  /** Writes an entry as it was before the server departed. */
  listAsReady(server: PooledServer): void {
    this.#write(server, 'ready');
  }

  #write({ server, link, zone }: PooledServer, state: 'ready' | 'draining'): void {
    this.#listedIds.add(server.id);
    this.#unlistedIds.delete(server.id);
    this.#options.store.put(TABLES.servers, server.id, {
      service: server.service,
      address: link.address,
      zone,
      slots: server.slots,
      state,
      sequence: 1,
      born: server.bornMs,
      version: server.softwareVersion,
      ...(server.stage === undefined ? {} : { stage: server.stage }),
    });
  }

  /** The times in which engines served. */
  get servingSpans(): readonly ServingSpan[] {
    const engines = this.servers.filter(({ server }) => server.stage !== undefined);
    return engines.flatMap(({ server }) => server.servingSpans);
  }

  /** Writes the entry of one of the listed servers anew, each in its turn. */
  rewrite(turn: number): void {
    const listed = this.servers.filter(({ server }) => this.#listedIds.has(server.id));
    const server = listed[turn % listed.length];
    if (server !== undefined) this.list(server);
  }

  /** Writes rows that no server writes: malformed entries, and an entry of an unknown service. */
  listStrays(): void {
    for (const [index, value] of STRAY_ROWS.entries()) {
      this.#options.store.put(TABLES.servers, strayKey(index), value);
    }
  }

  unlistStrays(): void {
    for (const index of STRAY_ROWS.keys()) this.unlist(strayKey(index));
  }

  unlist(serverId: string): void {
    this.#listedIds.delete(serverId);
    this.#unlistedIds.add(serverId);
    this.#options.store.remove(TABLES.servers, serverId);
  }

  /**
   * The writes that follow the restore of the store from an older copy: the current entries, and the removal of
   * entries that were removed before.
   */
  rewriteSteps(): readonly (() => void)[] {
    const listed = this.servers.filter(({ server }) => this.#listedIds.has(server.id));
    const removedIds = [...this.#unlistedIds];
    return [
      ...listed.map((server) => () => {
        if (this.#listedIds.has(server.server.id)) this.list(server);
      }),
      () => {
        setTimeout(() => this.#removeLapsed(removedIds), ENTRY_LAPSE_MS);
      },
    ];
  }

  #removeLapsed(ids: readonly string[]): void {
    for (const id of ids) if (!this.#listedIds.has(id)) this.unlist(id);
  }

  async #add(
    service: string,
    stage: Stage | undefined,
    handles: Map<string, string>,
  ): Promise<void> {
    const { random, observer, traits, accepts } = this.#options;
    const onStageChange = () => this.list(pooled);
    const pace = traits.paces[this.servers.length] ?? 1;
    const slots = stage === undefined ? traits.webSlots : DEFAULT_SLOTS;
    const softwareVersion = FIRST_SOFTWARE_VERSION;
    const { tokenMs = EVENT_GAP_MS } = traits;
    const made = { service, stage, softwareVersion, slots, pace, tokenMs };
    const server = new ModelServer({ ...made, handles, random, observer, accepts, onStageChange });
    const link = new LinkProxy(() => server.port, accepts);
    const zone = ZONES[this.servers.length % ZONES.length] ?? ZONES[0];
    const pooled: PooledServer = { server, link, zone, isDraining: false, isLeaving: false };
    await server.start();
    await link.open();
    await this.#options.daemonLinks?.open(link.address);
    this.servers.push(pooled);
    this.list(pooled);
  }
}
