/** The servers of a run with their links, as they stand in the store: they crash, leave and come back as others. */
import { TABLES } from '../platform/names.js';
import { MODEL, WEB_SERVICES } from './configuration.js';
import { LinkProxy } from './link-proxy.js';
import { ModelServer, type ServerObserver, type Stage } from './model-server.js';
import type { PlatformStore } from './platform-store.js';

export const ZONES = ['a', 'b', 'c'] as const;
const SLOTS = 24;
/** Every third engine reads prompts for the others. */
const ENGINES_PER_READER = 3;
/** Entries of a server that crashed go after three missed heartbeats. */
export const ENTRY_LAPSE_MS = 3_600;

/** A server, its link and its entry. */
export interface PooledServer {
  readonly server: ModelServer;
  readonly link: LinkProxy;
  readonly zone: string;
  isDraining: boolean;
}

/** What a pool is built from. */
export interface ServerPoolOptions {
  readonly engines: number;
  readonly webServers: number;
  readonly store: PlatformStore;
  readonly random: () => number;
  readonly observer: ServerObserver;
}

/** All servers; engines come first. */
export class ServerPool {
  readonly servers: PooledServer[] = [];
  readonly #options: ServerPoolOptions;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { engines, webServers } = this.#options;
    const handles = new Map<string, string>();
    for (let engine = 0; engine < engines; engine += 1) {
      const stage = engine % ENGINES_PER_READER === 0 ? 'prefill' : 'decode';
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

  /** Writes a server's entry as it is now. */
  list({ server, link, zone, isDraining }: PooledServer): void {
    this.#options.store.put(TABLES.servers, server.id, {
      service: server.service,
      address: link.address,
      zone,
      slots: SLOTS,
      state: isDraining ? 'draining' : 'ready',
      sequence: 1,
      ...(server.stage === undefined ? {} : { stage: server.stage }),
    });
  }

  unlist(serverId: string): void {
    this.#options.store.remove(TABLES.servers, serverId);
  }

  async #add(
    service: string,
    stage: Stage | undefined,
    handles: Map<string, string>,
  ): Promise<void> {
    const { random, observer } = this.#options;
    const noteStage = () => this.list(pooled);
    const server = new ModelServer({ service, stage, handles, random, observer, noteStage });
    const link = new LinkProxy(() => server.port);
    const zone = ZONES[this.servers.length % ZONES.length] ?? ZONES[0];
    const pooled: PooledServer = { server, link, zone, isDraining: false };
    await server.start();
    await link.open();
    this.servers.push(pooled);
    this.list(pooled);
  }
}
