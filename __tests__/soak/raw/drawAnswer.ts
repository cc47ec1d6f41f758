import type { Draw } from '../Draw.js'

/** What tells the end of an answer. */
export enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  /** The end of the connection. */
  Connection = 'connection'
}

/** How an upstream misbehaves while it answers. */
export enum AnswerFault {
  None = 'none',
  /** It ends the connection within the answer. */
  Cut = 'cut',
  Reset = 'reset',
  /** It crashes within the answer. */
  Crash = 'crash',
  /** It writes the same answer once more. */
  Copy = 'copy',
  CopyWithoutAttempt = 'copy-without-attempt',
  CopyOtherStatus = 'copy-other-status',
  Garbage = 'garbage',
  /** It is full and runs nothing. */
  Reject = 'reject'
}

/** An answer and how it is written. */
export interface AnswerScript {
  status: number
  framing: Framing
  fault: AnswerFault
  /** Time until the answer begins, in milliseconds. */
  delayMilliseconds: number
  /** Time from its first byte to its last one, in milliseconds. */
  spreadMilliseconds: number
  /** Time from its last byte to the copy, in milliseconds. */
  lateMilliseconds: number
  /** Whether it is written before the body of the request is read. */
  isEarly: boolean
  bodyBytes: number
}

/** Faults that write bytes behind an answer. */
export const COPIES = [AnswerFault.Copy, AnswerFault.CopyWithoutAttempt, AnswerFault.CopyOtherStatus, AnswerFault.Garbage]

const FAULT_WEIGHTS: ReadonlyArray<readonly [AnswerFault, number]> = [
  [AnswerFault.None, 62], [AnswerFault.Copy, 16], [AnswerFault.CopyWithoutAttempt, 5], [AnswerFault.CopyOtherStatus, 5], [AnswerFault.Garbage, 5],
  [AnswerFault.Cut, 2], [AnswerFault.Reset, 1], [AnswerFault.Crash, 1], [AnswerFault.Reject, 3]
]
const LONGEST_LATENESS_MILLISECONDS = 400
const LONGEST_DELAY_MILLISECONDS = 300
const LONGEST_SPREAD_MILLISECONDS = 900
const LONGEST_USUAL_BODY_BYTES = 60_000

/**
 * Draws an answer of an upstream.
 *
 * @param draw - random choices
 * @param wantedBytes - length of the body that the guest asks for, 0 for any
 */
export function drawAnswer (draw: Draw, wantedBytes: number): AnswerScript {
  const framing = draw.pickWeighted([[Framing.Length, 5], [Framing.Chunks, 3], [Framing.Connection, 3]] as const)
  const fault = draw.pickWeighted(FAULT_WEIGHTS)
  const isUnmarked = framing === Framing.Connection
  return {
    status: fault === AnswerFault.Reject ? 503 : draw.chance(0.05) ? 500 : 200,
    framing,
    fault: isUnmarked ? replaceAmbiguous(fault) : fault,
    delayMilliseconds: draw.chance(0.5) ? 0 : draw.between(0, LONGEST_DELAY_MILLISECONDS),
    spreadMilliseconds: draw.chance(0.6) ? 0 : draw.between(0, LONGEST_SPREAD_MILLISECONDS),
    lateMilliseconds: draw.chance(0.3) ? 0 : draw.between(0, isUnmarked ? LONGEST_LATENESS_MILLISECONDS / 4 : LONGEST_LATENESS_MILLISECONDS),
    isEarly: draw.chance(0.15),
    bodyBytes: wantedBytes > 0 ? wantedBytes : Math.floor(draw.pick([draw.between(0, 200), draw.between(0, LONGEST_USUAL_BODY_BYTES)]))
  }
}

/** Without a length nobody can tell an ordered cut from the end, nor garbage from the body. */
function replaceAmbiguous (fault: AnswerFault): AnswerFault {
  if (fault === AnswerFault.Cut) return AnswerFault.Reset
  return fault === AnswerFault.Garbage ? AnswerFault.Copy : fault
}
