import { readFileSync } from 'node:fs'

/** Clock ticks of `/proc`: USER_HZ is 100 on Linux. */
const TICKS_PER_SECOND = 100
// Fields of `/proc/PID/stat` after the process name: utime and stime.
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/**
 * @param pid - identifier of a process on this machine
 * @returns user and system time that the process has used, in seconds
 */
export function readProcessorSeconds (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND
}
