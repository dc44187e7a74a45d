/**
 * The properties of the control model, each named after the invariant that it checks.
 */
import {
  type IntentRow,
  intentKey,
  isSameAction,
  isUnresolved,
  type Order,
} from '../../../core/orders/index.js';
import { bootId, type ModelEngine, runningOrder } from '../engine.js';
import { rowOf } from '../table.js';
import type { Draft } from './draft.js';
import { CONTROL_PROPERTIES } from './property-names.js';
import { type ControlWorld, ENGINE } from './world.js';

/** The engine's intent row. */
export function intentOf(world: ControlWorld): IntentRow | null {
  return rowOf(world.table, intentKey(ENGINE)).value as IntentRow | null;
}

/**
 * Checks an accepted order: its epoch must not be older than one accepted before, and an order that
 * starts must be the one in the engine's intent row.
 */
export function checkAcceptedOrder(draft: Draft, before: ModelEngine, order: Order): void {
  const { world } = draft;
  if (order.fence.epoch < world.highestEpoch) {
    const detail = `${order.id} of epoch ${order.fence.epoch} accepted after epoch ${world.highestEpoch}`;
    draft.violate(CONTROL_PROPERTIES.deposed, detail);
  }
  world.highestEpoch = Math.max(world.highestEpoch, order.fence.epoch);
  const isNew = before.acceptedOrders.every((taken) => taken.order.id !== order.id);
  if (order.action.kind === 'hold' || !isNew) return;
  checkStart(draft, before, order);
}

function checkStart(draft: Draft, before: ModelEngine, order: Order): void {
  const row = intentOf(draft.world);
  const isIntended =
    row !== null &&
    row.orderId === order.id &&
    row.phase === 'ordered' &&
    row.boot === order.boot &&
    isSameAction(row.action, order.action);
  if (!isIntended) {
    const named = row === null ? 'nothing' : `${row.orderId} ${row.phase}`;
    draft.violate(
      CONTROL_PROPERTIES.conflicting,
      `${order.id} starts while the table names ${named}`,
    );
  }
  if (before.active > 0) {
    draft.violate(CONTROL_PROPERTIES.cut, `${order.id} starts with ${before.active} running`);
  }
}

/** Checks a dispatch: none is allowed while an order may be in flight to this boot of the engine. */
export function checkDispatch(draft: Draft): void {
  const row = intentOf(draft.world);
  if (row === null || row.phase !== 'ordered' || row.boot !== bootId(draft.world.engine)) return;
  draft.violate(CONTROL_PROPERTIES.dispatch, `a request is sent while ${row.orderId} is ordered`);
}

/** Checks the properties that must hold in every state. */
export function checkWorld(draft: Draft): void {
  const { world } = draft;
  const row = intentOf(world);
  const running = runningOrder(world.engine);
  if (running !== null && !(isUnresolved(row) && row.orderId === running.id)) {
    const detail = `${running.id} runs while the table names ${row?.orderId} ${row?.phase}`;
    draft.violate(CONTROL_PROPERTIES.conflicting, detail);
  }
  if (row === null || row.phase !== 'settled' || row.boot !== bootId(world.engine)) return;
  const taken = world.engine.acceptedOrders.find((each) => each.order.id === row.orderId);
  const isTrue = row.outcome === 'done' ? taken?.state === 'done' : taken?.state !== 'done';
  if (!isTrue) {
    const detail = `${row.orderId} settled as ${row.outcome}, the engine reports ${taken?.state}`;
    draft.violate(CONTROL_PROPERTIES.conflicting, detail);
  }
}
