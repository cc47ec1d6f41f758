import type { HostMemoryLimits } from '../hibiscusrelay.js'

/** Bounds on messages at a host of the daemon form, which is both entry host and owner. */
export const DAEMON_MEMORY_LIMITS: HostMemoryLimits = {
  totalBytes: 268_435_456,
  reservedBytes: 33_554_432,
  bodyBytes: 134_217_728,
  answerBytes: 67_108_864,
  streams: 256
}
