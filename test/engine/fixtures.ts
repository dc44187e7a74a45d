/** Engines and orders for the tests. */
import type { Order, OrderAction } from '../../src/core/orders/index.js';
import type { Endpoint } from '../../src/core/registry/backend.js';
import {
  createEngineServer,
  type EngineServer,
  type EngineServerOptions,
} from '../../src/lab/engine/index.js';

export const LOOPBACK: Endpoint = { address: '127.0.0.1', port: 0 };
export const LABELS = { model: 'labels', version: 'v1', adapters: [] };

export function startEngine(options: Partial<EngineServerOptions> = {}): Promise<EngineServer> {
  return createEngineServer({
    listen: LOOPBACK,
    name: 'engine-1',
    role: 'mixed',
    models: [LABELS],
    accelerator: 'new',
    seed: 1,
    speedFactor: 100,
    roleChangeMs: 50,
    loadMs: 50,
    ...options,
  });
}

/** An order to `engine-1`; the sequence also makes its id. */
export function orderOf(
  boot: string,
  sequence: number,
  action: OrderAction,
  overrides: Partial<Order> = {},
): Order {
  return {
    id: `order-${sequence}`,
    engine: 'engine-1',
    boot,
    fence: { epoch: 1, sequence },
    action,
    onlyIfIdle: false,
    ...overrides,
  };
}

export const CLOSE_INTAKE: OrderAction = { kind: 'hold', intake: 'closed' };
export const TO_DECODE: OrderAction = { kind: 'set-role', role: 'decode' };
