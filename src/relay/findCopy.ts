import type { AnswerHead } from './exchange.js'
import { findStatedLength } from './findStatedLength.js'
import { HeadOrigin } from './HeadOrigin.js'
import { HeadScanner } from './HeadScanner.js'
import { RepeatedAnswer } from './RepeatedAnswer.js'
import type { SeparatedAnswers } from './separateAnswers.js'

/**
 * Looks for a copy of an answer that states its length. Behind a part of the answer the bytes of a copy fill that length, and since
 * the copy states the same length, it goes on behind it.
 *
 * @param body - as many bytes as the answer states
 * @param identify - tells whose answer a head introduces
 * @returns the body, and whether it contains the head of an answer to the same request that states more bytes than follow
 */
export function findCopy (body: Buffer, identify: (head: AnswerHead) => HeadOrigin): SeparatedAnswers {
  if (!body.includes('HTTP/1.')) return { body, found: undefined }
  const isCutCopy = (head: AnswerHead, end: number): boolean => {
    return identify(head) === HeadOrigin.SameRequest && Number(findStatedLength(head.headers) ?? 0) > body.length - end
  }
  const parts = new HeadScanner().scan(body)
  const hasCopy = parts.some(({ bytes, head }) => head !== undefined && isCutCopy(head, bytes.byteOffset - body.byteOffset + bytes.length))
  return { body, found: hasCopy ? RepeatedAnswer.Ambiguous : undefined }
}
