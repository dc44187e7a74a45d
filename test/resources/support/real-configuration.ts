/** The configuration of the process under test: web and model routes with long and short time-outs, and their services. */

/** The host of all routes. */
export const HOST = 'sheets.example';

/** The configuration that the process starts with. */
export const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'web',
      host: HOST,
      pathPrefix: '/web/',
      kind: 'non_idempotent',
      timeoutMs: 60_000,
      targetLatencyMs: 30_000,
      priority: 1,
      attempts: 1,
      service: 'web',
    },
    {
      name: 'brief',
      host: HOST,
      pathPrefix: '/brief/',
      kind: 'non_idempotent',
      timeoutMs: 3_000,
      targetLatencyMs: 1_500,
      priority: 1,
      attempts: 1,
      service: 'web',
    },
    {
      name: 'model',
      host: HOST,
      pathPrefix: '/model/',
      kind: 'streaming',
      timeoutMs: 60_000,
      targetLatencyMs: 30_000,
      priority: 1,
      attempts: 1,
      service: 'model',
    },
    {
      name: 'brief-model',
      host: HOST,
      pathPrefix: '/brief-model/',
      kind: 'streaming',
      timeoutMs: 3_000,
      targetLatencyMs: 1_500,
      priority: 1,
      attempts: 1,
      service: 'model',
    },
    {
      name: 'resumable',
      host: HOST,
      pathPrefix: '/resumable/',
      kind: 'streaming',
      resumable: true,
      timeoutMs: 3_000,
      targetLatencyMs: 1_500,
      priority: 1,
      attempts: 1,
      service: 'model',
    },
  ],
  services: [
    { name: 'web', maxConnections: 10_000, healthPath: '/health' },
    {
      name: 'model',
      maxConnections: 10_000,
      healthPath: '/health',
      engine: {
        slots: 4_000,
        kvTokens: 10_000_000,
        kvTokenBytes: 1_000,
        linkMbps: 100_000,
        most: 12,
      },
    },
  ],
  limits: {
    maxHeaderBytes: 32_768,
    maxBodyBytes: 4_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};
