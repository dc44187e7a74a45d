/**
 * What servers have reported of their availability while a daemon ran a forwarded request. The answer to the daemon that
 * forwarded it carries these reports, since that one passes them on to its caller as answers of its own and has to act on
 * them once it reaches the servers again. A header of this hop holds a list such as `aS0x leaving 0, aS0y open 3000`: the
 * server's id in base64url, whether it leaves, and the remaining back-off in milliseconds.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ReportedAvailability } from '../../core/gateway/index.js';
import type { FleetView } from './fleet-view.js';
import type { RawHeaders } from './ports.js';

const NAME = 'Threadfork-Forward-Availability';
const ENTRY = /^([\w-]+) (leaving|open) (\d{1,9})$/;
/** A request is sent to fewer servers than this. */
const MAX_ENTRIES = 16;

/** The report of one server. */
export interface ForwardedAvailability extends ReportedAvailability {
  readonly serverId: string;
}

/** The servers of these that are leaving or want no requests now. */
export function unavailableAmong(
  serverIds: Iterable<string>,
  { directory, availability }: Pick<FleetView, 'directory' | 'availability'>,
  nowMs: number,
): readonly ForwardedAvailability[] {
  return [...serverIds].flatMap((serverId) => {
    const server = directory.get(serverId);
    if (server === undefined) return [];
    const isLeaving = availability.of(server, nowMs).kind === 'leaving';
    const backOffMs = availability.backOffOf(server, nowMs)?.forMs;
    return isLeaving || backOffMs !== undefined ? [{ serverId, isLeaving, backOffMs }] : [];
  });
}

/** The headers of an answer that carry the reports; none where there is nothing to report. */
export function encodeAvailability(reports: readonly ForwardedAvailability[]): RawHeaders {
  if (reports.length === 0) return [];
  const entries = reports.slice(0, MAX_ENTRIES).map(encodeEntry);
  return ['Connection', NAME, NAME, entries.join(', ')];
}

function encodeEntry({ serverId, isLeaving, backOffMs = 0 }: ForwardedAvailability): string {
  const id = Buffer.from(serverId).toString('base64url');
  return `${id} ${isLeaving ? 'leaving' : 'open'} ${Math.ceil(backOffMs)}`;
}

/** The reports in an answer; entries that cannot be read are passed over. */
export function decodeAvailability(headers: IncomingHttpHeaders): readonly ForwardedAvailability[] {
  const text = String(headers[NAME.toLowerCase()] ?? '');
  return text
    .split(',')
    .slice(0, MAX_ENTRIES)
    .flatMap((entry) => decodeEntry(entry.trim()));
}

function decodeEntry(entry: string): readonly ForwardedAvailability[] {
  const [, id, state, backOff] = ENTRY.exec(entry) ?? [];
  if (id === undefined) return [];
  const serverId = Buffer.from(id, 'base64url').toString('utf8');
  const backOffMs = Number(backOff);
  const isLeaving = state === 'leaving';
  return [{ serverId, isLeaving, backOffMs: backOffMs > 0 ? backOffMs : undefined }];
}
