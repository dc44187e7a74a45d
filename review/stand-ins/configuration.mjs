/** The operator's configuration of a small deployment, written as the pages show it. */
import { HOST } from './client.mjs';

export const MODEL = 'huvo11a';
export const WEB = 'wuno96b';

/** @param generate what is other at the streaming route */
export function configuration(version, generate = {}) {
  return {
    version,
    routes: [
      { ...route('generate', 'streaming', MODEL, 3_000, 300, 2, 0), ...generate },
      route('renew', 'non_idempotent', WEB, 1_000, 150, 1, 2),
      route('slip', 'idempotent', WEB, 1_000, 150, 2, 2),
    ],
    services: [
      {
        name: MODEL,
        healthPath: '/health',
        maxConnections: 250,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 32,
          kvTokens: 442_678,
          kvTokenBytes: 163_840,
          linkMbps: 1_400_000,
          stride: 7,
          most: 12,
          handleTtlS: 5,
          roleSwitchS: 1.1,
          models: [{ name: 'm' }],
        },
      },
      { name: WEB, healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function route(name, kind, service, timeoutMs, targetLatencyMs, attempts, priority) {
  const common = { name, host: HOST, pathPrefix: `/${name}/`, kind, timeoutMs, targetLatencyMs };
  const stream = kind === 'streaming' ? { sticky: true, resumable: false, targetGapMs: 150 } : {};
  return { ...common, priority, service, attempts, ...stream };
}
