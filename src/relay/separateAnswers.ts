import type { AnswerHead } from './exchange.js'
import { HeadOrigin } from './HeadOrigin.js'
import { HeadScanner, type ScannedPart } from './HeadScanner.js'
import { RepeatedAnswer } from './RepeatedAnswer.js'

/** The first of the answers in a body, and what was found behind it. */
export interface SeparatedAnswers {
  body: Buffer
  /** Undefined when the body is one answer. */
  found: RepeatedAnswer | undefined
}

/**
 * Separates an answer that the end of its connection delimits from further ones that its upstream wrote behind it. A
 * further one with the same status and body repeats the answer. Any other one that bears the marks of an upstream, or
 * that breaks off in its head, leaves open where the answer ends.
 *
 * @param body - all bytes behind the head of the answer
 * @param status - status of the answer
 * @param identify - tells whose answer a head introduces
 */
export function separateAnswers (body: Buffer, status: number, identify: (head: AnswerHead) => HeadOrigin): SeparatedAnswers {
  const scanner = new HeadScanner()
  const scanned = scanner.scan(body)
  const { parts, endsInHead } = scanner.finish()
  if (endsInHead) return { body, found: RepeatedAnswer.Ambiguous }
  const heads = [...scanned, ...parts].flatMap(({ bytes, head }) => head === undefined ? [] : [{ bytes, head, origin: identify(head) }])
  const marked = heads.filter(({ origin }) => origin !== HeadOrigin.Unknown)
  const separators = marked.length > 0 ? marked : heads
  if (separators.length === 0) return { body, found: undefined }
  const [first, ...others] = split(body, separators)
  const isRepeated = separators.every(({ head, origin }) => head.status === status && origin !== HeadOrigin.Upstream) && others.every((each) => each.equals(first!))
  if (marked.length === 0 && !isRepeated) return { body, found: undefined }
  // An empty answer and its copy look like one whose body is a head; only an identifier tells them apart.
  if (isRepeated && (marked.length > 0 || first!.length > 0)) return { body: first!, found: RepeatedAnswer.CutOff }
  return { body, found: RepeatedAnswer.Ambiguous }
}

function split (body: Buffer, separators: Array<Pick<ScannedPart, 'bytes'>>): Buffer[] {
  let start = body.byteOffset
  const segments = separators.map(({ bytes }) => {
    const segment = body.subarray(start - body.byteOffset, bytes.byteOffset - body.byteOffset)
    start = bytes.byteOffset + bytes.length
    return segment
  })
  return [...segments, body.subarray(start - body.byteOffset)]
}
