import type { AnswerHead } from './exchange.js'
import type { HeadOrigin } from './HeadOrigin.js'
import type { RepeatedAnswer } from './RepeatedAnswer.js'

/** How further answers are recognized within an answer that the end of its connection delimits. */
export interface SeparatorOptions {
  /** Tells whose answer a head introduces. */
  identify: (head: AnswerHead) => HeadOrigin
  /** Called when a further answer is found. */
  onFound: (found: RepeatedAnswer) => void
}
