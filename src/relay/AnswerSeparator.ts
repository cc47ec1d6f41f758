import type { AnswerHead } from './exchange.js'
import { HeadOrigin } from './HeadOrigin.js'
import { HeadScanner, type ScannedPart } from './HeadScanner.js'
import { RepeatedAnswer } from './RepeatedAnswer.js'
import { separateAnswers } from './separateAnswers.js'

/** How further answers are recognized within an answer that the end of its connection delimits. */
export interface SeparatorOptions {
  /** Tells whose answer a head introduces. */
  identify: (head: AnswerHead) => HeadOrigin
  /** Called when a further answer is found. */
  onFound: (found: RepeatedAnswer) => void
}

/** Keeps bytes of further answers out of the body of an answer that the end of its connection delimits. */
export class AnswerSeparator {
  readonly #status: number
  readonly #options: SeparatorOptions
  readonly #scanner = new HeadScanner()

  /**
   * @param status - status of the answer
   * @param options - how further answers are recognized
   */
  constructor (status: number, options: SeparatorOptions) {
    this.#status = status
    this.#options = options
  }

  /**
   * @param body - all bytes of an answer that was not passed on yet
   * @returns its body, undefined when it is not known where it ends
   */
  separate (body: Buffer): Buffer | undefined {
    const separated = separateAnswers(body, this.#status, this.#options.identify)
    if (separated.found !== undefined) this.#options.onFound(separated.found)
    return separated.found === RepeatedAnswer.Ambiguous ? undefined : separated.body
  }

  /**
   * @param chunk - next bytes of an answer that is passed on while it arrives
   * @returns the bytes to pass on, undefined when a further answer begins in them
   */
  pass (chunk: Buffer): Buffer | undefined {
    return this.#join(this.#scanner.scan(chunk), false)
  }

  /** @returns the last bytes of an answer that was passed on while it arrived, undefined when a further answer begins in them */
  finish (): Buffer | undefined {
    const { parts, endsInHead } = this.#scanner.finish()
    return this.#join(parts, endsInHead)
  }

  #join (parts: ScannedPart[], endsInHead: boolean): Buffer | undefined {
    if (endsInHead || parts.some(({ head }) => head !== undefined && this.#options.identify(head) !== HeadOrigin.Unknown)) {
      this.#options.onFound(RepeatedAnswer.Ambiguous)
      return undefined
    }
    return parts.length === 1 ? parts[0]!.bytes : Buffer.concat(parts.map(({ bytes }) => bytes))
  }
}
