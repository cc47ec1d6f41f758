import type { HostMemoryLimits } from '../limits/HostMemory.js'

/** Bounds on messages at a control host: it gets plans, announcements and calls, and asks no upstream. */
export const CONTROL_MEMORY_LIMITS: HostMemoryLimits = {
  totalBytes: 100_663_296,
  reservedBytes: 33_554_432,
  bodyBytes: 67_108_864,
  answerBytes: 0,
  streams: 0
}
