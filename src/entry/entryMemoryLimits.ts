/** Answers up to this size are buffered completely before they are passed on. */
export const MAXIMUM_BUFFERED_ANSWER_BYTES = 262_144
/** Bound on the buffered bytes of all answers together: a sixth of the memory of the smallest hosts. */
export const MAXIMUM_BUFFERED_BYTES = 33_554_432
/** Bound on the large bodies of all requests together: the largest body that plans allow. */
export const MAXIMUM_BODY_BYTES = 67_108_864
/** Bound on the answers that are passed on while they arrive; each takes up to 1 MB in buffers of two connections. */
export const MAXIMUM_STREAMED_ANSWERS = 96
