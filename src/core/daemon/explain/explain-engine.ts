/**
 * Explains an engine: why it receives requests or not, its role, its pool's lease, its last order.
 */
import { err, ok, type Result } from 'neverthrow';
import type { MonotonicMs } from '../../common/time.js';
import { type Fault, refusedNotRun } from '../../errors/fault.js';
import { holdsAuthority } from '../../lease/index.js';
import { type EngineView, poolOf } from '../../registry/backend.js';
import { poolInputs } from '../duties.js';
import type { DaemonState } from '../state.js';
import { engineRows } from '../tables/engine-rows.js';
import type { ExplainInput, ExplanationText } from './types.js';

export function explainEngine(input: ExplainInput, id: string): Result<ExplanationText, Fault> {
  const view = input.state.digest.views.get(id);
  if (view === undefined) {
    return err(
      refusedNotRun(
        'invalid-request',
        `This daemon knows no engine "${id}". List the engines with the query \`engines\`.`,
      ),
    );
  }
  const rows = engineRows(input.state, input.now).filter((row) => row.name === id);
  const orders = (input.orders ?? []).filter((row) => row.engine === id);
  return ok({
    subject: 'engine',
    id,
    sentences: [
      dispatchSentence(input.state, view, input.now),
      roleSentence(input.state, view),
      leaseSentence(input.state, view, input.now),
      orderSentence(input.orders === null, orders.length),
    ],
    tables: [
      { title: 'engine', rows },
      { title: 'last order', rows: orders },
    ],
  });
}

function dispatchSentence(state: DaemonState, view: EngineView, now: MonotonicMs): string {
  const { name } = view.machine;
  const reason = whyNotDispatched(state, view, now);
  return reason === null
    ? `${name} takes new requests from this daemon.`
    : `${name} takes no new requests from this daemon: ${reason}.`;
}

function whyNotDispatched(state: DaemonState, view: EngineView, now: MonotonicMs): string | null {
  const { machine, report } = view;
  if (report === null) return 'it has not reported yet';
  if (state.traffic.index.configuration.backends[machine.name]?.drained === true) {
    return 'an operator has drained it';
  }
  if (machine.state === 'leaving') return 'the machine list says that it is leaving';
  if (report.leaving) return 'it says that it is leaving';
  if (report.intake === 'closed') return 'its controller has closed its intake for a change';
  if (report.busy) return 'an order keeps it away';
  if (now >= view.grantedUntil) return 'its last report is too old to grant dispatch';
  return null;
}

function roleSentence(state: DaemonState, view: EngineView): string {
  const desired = poolInputs(state, poolOf(view.machine)).desired.find(
    (one) => one.engine === view.machine.name,
  );
  const role = view.report?.role ?? 'unknown';
  const wanted = desired?.role ?? null;
  return wanted === null || wanted === role
    ? `Its role is ${role}; no other is wanted of it.`
    : `Its role is ${role}; ${wanted} is wanted of it (${desired?.reason ?? 'no reason given'}).`;
}

function leaseSentence(state: DaemonState, view: EngineView, now: MonotonicMs): string {
  const pool = poolOf(view.machine);
  const lease = state.duties.get(pool)?.lease;
  const row = lease?.observed?.row ?? null;
  if (lease === undefined || row === null) {
    return `Its pool is ${pool}; this daemon does not know who holds the pool's lease.`;
  }
  const own = holdsAuthority(lease, now) ? ' (this daemon, in force)' : '';
  return `Its pool is ${pool}; the lease was last seen with ${row.holder ?? 'nobody'}${own} at epoch ${row.epoch}.`;
}

function orderSentence(storeSilent: boolean, count: number): string {
  if (storeSilent) return 'The table service did not answer, so its last order is not known here.';
  return count === 0 ? 'No order was ever recorded for it.' : 'Its last order is in the table.';
}
