/** Resource usage of a process from Linux's /proc: CPU time, resident memory, I/O bytes. */
import { readFileSync } from 'node:fs';

/** Clock ticks per second in /proc (USER_HZ); 100 on every common Linux. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 1;

/** One sample. */
export interface ProcessSample {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes of read and write system calls: TCP and files, without UDP. */
  readonly ioBytes: number;
}

/** Reads the resource usage of a process. */
export function sampleProcess(pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name may contain blanks, so fields are counted from after its closing bracket.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const pages = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[RESIDENT_PAGES_FIELD];
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(pages) * PAGE_BYTES,
    ioBytes: ioField(io, 'rchar') + ioField(io, 'wchar'),
  };
}

function ioField(text: string, name: string): number {
  return Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0);
}
