/**
 * Judges requests that servers receive long after they were sent: those that their daemon has given up, and those that a
 * daemon which stood still sends to a server that has departed meanwhile.
 */
import type { Arrival, CallRecord, Disturbance, RunRecord } from './record.js';

/** A daemon gives a request up soon after its caller has left or its time is over. */
const GIVEN_UP_SLACK_MS = 1_000;
/** A few requests may cross their end. */
const MAX_AFTER_END = 3;
const MAX_CASES_SHOWN = 5;
const TRANSIT_MS = 500;

/** A case in which a promise was broken. */
interface Case {
  readonly atMs: number;
  readonly detail: string;
}

/** Requests that reached a server more than a second after their caller had the last word on them; empty for a few. */
export function arrivalsAfterEnd(calls: readonly CallRecord[], run: RunRecord): readonly Case[] {
  const cases = calls.flatMap((call) =>
    call.arrivals.flatMap((arrival): readonly Case[] => {
      const afterMs = sentBy(arrival) - (call.endedMs ?? Number.POSITIVE_INFINITY);
      const isExcused =
        isStruck(run, call.daemon, call.sentMs, arrival.atMs) || isForwarded(run, call);
      if (afterMs <= GIVEN_UP_SLACK_MS || isExcused) return [];
      const detail = `${call.id} reached ${arrival.serverId} ${Math.round(afterMs)} ms after its end`;
      return [{ atMs: arrival.atMs, detail }];
    }),
  );
  if (cases.length <= MAX_AFTER_END) return [];
  const shown = cases.slice(0, MAX_CASES_SHOWN).map(({ detail }) => detail);
  const detail = `${cases.length} requests were received after they had ended: ${shown.join('; ')}`;
  return [{ atMs: cases[0]?.atMs ?? 0, detail }];
}

/** Requests that a daemon sent after it stood still, to a server that departed meanwhile and whose drain time is over. */
export function sentAfterStalls(calls: readonly CallRecord[], run: RunRecord): readonly Case[] {
  const stalls = run.disturbances.filter(({ scope }) => scope === 'frozen');
  return calls.flatMap((call) =>
    call.arrivals.flatMap((arrival): readonly Case[] => {
      const notice = run.drains.find(({ serverId }) => serverId === arrival.serverId);
      const atMs = sentBy(arrival);
      if (notice === undefined || atMs <= notice.ackMs + run.bounds.drainMs + TRANSIT_MS) return [];
      const stall = stalls.find((candidate) => isAcross(candidate, call, notice.ackMs, atMs));
      if (stall === undefined || isHeldByNetwork(run, arrival, stall)) return [];
      const agoMs = Math.round(atMs - notice.ackMs);
      const detail = `${call.id} sent to ${arrival.serverId} ${agoMs} ms after it left, while ${call.daemon} stood still`;
      return [{ atMs, detail }];
    }),
  );
}

/** Whether a server departed in a stall of the daemon, which sent the request after the stall. */
function isAcross(
  { name, fromMs, toMs }: Disturbance,
  { daemon }: CallRecord,
  ackMs: number,
  sentMs: number,
): boolean {
  return name === daemon && fromMs <= ackMs && ackMs <= toMs && sentMs >= toMs;
}

/** Whether the link to the server held requests, or the store was away, in or after the stall. */
function isHeldByNetwork(run: RunRecord, { serverId, atMs }: Arrival, stall: Disturbance): boolean {
  return run.disturbances.some(({ scope, name, fromMs, toMs }) => {
    const mayHold = (scope === 'server' && name === serverId) || scope === 'store';
    const isLate = scope === 'stand-ins';
    return (mayHold || isLate) && fromMs <= atMs && toMs >= stall.fromMs;
  });
}

/** Whether a daemon was killed or stood still, or the soak's own process was late, so that it could not give up in time. */
function isStruck(run: RunRecord, daemon: string, fromMs: number, untilMs: number): boolean {
  return run.disturbances.some(({ scope, name, fromMs: since, toMs }) => {
    const concerns = name === daemon && (scope === 'daemon' || scope === 'frozen');
    return (concerns || scope === 'stand-ins') && since <= untilMs && toMs >= fromMs;
  });
}

/** Whether another daemon may have run the request, as its own was cut off from the servers. */
function isForwarded(
  { cuts }: RunRecord,
  { daemon, sentMs, endedMs = sentMs }: CallRecord,
): boolean {
  return cuts.some(
    ({ daemons, fromMs, toMs }) => daemons.has(daemon) && fromMs <= endedMs && toMs >= sentMs,
  );
}

/** When a request was sent at the latest: its connection may have waited to be accepted. */
export function sentBy({ atMs, acceptWaitMs }: Arrival): number {
  return atMs - acceptWaitMs;
}
