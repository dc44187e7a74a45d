/** The resident memory of processes, as the kernel counts it. */
import { readFileSync } from 'node:fs';

const BYTES_PER_KILOBYTE = 1_024;
const PEAK_LINE = /^VmHWM:\s+(\d+) kB$/m;

/** The most memory that a process has had resident at once; undefined if it has ended. */
export function peakResidentBytes(pid: number): number | undefined {
  const kilobytes = PEAK_LINE.exec(statusOf(pid))?.[1];
  return kilobytes === undefined ? undefined : Number(kilobytes) * BYTES_PER_KILOBYTE;
}

/** The kernel's page on a process; empty if it has ended. */
function statusOf(pid: number): string {
  try {
    return readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    return '';
  }
}
