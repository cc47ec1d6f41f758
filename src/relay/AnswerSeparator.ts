import type { AnswerHead } from './exchange.js'
import { HeadOrigin } from './HeadOrigin.js'
import { HeadScanner, type ScannedPart } from './HeadScanner.js'
import { RepeatedAnswer } from './RepeatedAnswer.js'
import { RepetitionTracker } from './RepetitionTracker.js'
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
  readonly #tracker = new RepetitionTracker()

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
    return this.#join(this.#scanner.scan(chunk))
  }

  /** @returns the last bytes of an answer that was passed on while it arrived, undefined when it is not known where it ends */
  finish (): Buffer | undefined {
    const { parts, endsInHead } = this.#scanner.finish()
    const bytes = this.#join(parts)
    if (bytes === undefined) return undefined
    return endsInHead || this.#tracker.isRepetition ? this.#reject() : bytes
  }

  #join (parts: ScannedPart[]): Buffer | undefined {
    if (parts.some(({ head }) => head !== undefined && this.#options.identify(head) !== HeadOrigin.Unknown)) return this.#reject()
    for (const { bytes, head } of parts) {
      if (head?.status === this.#status) this.#tracker.split()
      else this.#tracker.add(bytes)
    }
    return parts.length === 1 ? parts[0]!.bytes : Buffer.concat(parts.map(({ bytes }) => bytes))
  }

  #reject (): undefined {
    this.#options.onFound(RepeatedAnswer.Ambiguous)
    return undefined
  }
}
