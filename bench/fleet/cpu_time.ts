import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = Number(
  execFileSync('getconf', ['CLK_TCK'], {encoding: 'utf8'}),
);

/** Returns the CPU time that a process has used, in milliseconds. */
export function cpuTimeMsOf(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Returns a process's resident memory, in mebibytes. */
export function residentMegabytesOf(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const [, kilobytes = '0'] = /VmRSS:\s+(\d+)/.exec(status) ?? [];
  return Number(kilobytes) / 1024;
}
