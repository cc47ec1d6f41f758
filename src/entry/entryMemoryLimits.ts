import type { HostMemoryLimits } from '../limits/HostMemory.js'

/** Maximum size of the header of a request for the parser, which is set before a plan with its own limit is known. */
export const MAXIMUM_GUEST_HEAD_BYTES = 65_536
/** Answers up to this size are buffered completely before they are passed on. */
export const MAXIMUM_BUFFERED_ANSWER_BYTES = 262_144

/** Bounds on messages at an entry host of the platform form: the memory of the smallest machines beside the program itself. */
export const ENTRY_MEMORY_LIMITS: HostMemoryLimits = {
  totalBytes: 92_274_688,
  reservedBytes: 16_777_216,
  /** The largest body that plans allow. */
  bodyBytes: 67_108_864,
  answerBytes: 33_554_432,
  streams: 96
}
