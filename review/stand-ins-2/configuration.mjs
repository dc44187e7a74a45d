/** The configuration and the servers' entries of a small deployment. */
export const HOST = 'ficu95.example';
export const STREAM_PATH = '/lohu930/2f';
export const RESUMABLE_PATH = '/name381/2f';
export const WEB_PATH = '/pule252/2f';

/** One version of the configuration. */
export function configuration(version, changes = {}) {
  return {
    version,
    routes: [
      route('batch', STREAM_PATH, 'llm', { kind: 'streaming', timeoutMs: 6000, attempts: 1 }),
      route('check', RESUMABLE_PATH, 'llm', {
        kind: 'streaming',
        timeoutMs: 5000,
        attempts: 2,
        resumable: true,
      }),
      route('web', WEB_PATH, 'web', { kind: 'non_idempotent', timeoutMs: 1000, attempts: 1 }),
    ],
    services: [
      {
        name: 'llm',
        maxConnections: 300,
        healthPath: '/health',
        engine: {
          slots: 48,
          kvTokens: 495255,
          kvTokenBytes: 163840,
          linkMbps: 1900000,
          handleTtlS: 5,
          roleSwitchS: 1.1,
        },
      },
      { name: 'web', maxConnections: 100, healthPath: '/health' },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 1048576,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15000,
    },
    ...changes,
  };
}

function route(name, path, service, more) {
  const pathPrefix = `/${path.split('/')[1]}/`;
  return { name, host: HOST, pathPrefix, service, targetLatencyMs: 600, priority: 1, ...more };
}

/** The entry of a server. */
export function serverEntry({ service, port, zone = 'zone-a', state = 'ready', stage, sequence }) {
  return {
    service,
    address: `127.0.0.1:${port}`,
    zone,
    version: 'v1',
    slots: 48,
    state,
    coldRemainingMs: 0,
    sequence,
    ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
  };
}
