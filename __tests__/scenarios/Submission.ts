import type { OperatorReply } from './callOperator.js'

/** A sheet that a scenario submitted. */
export interface Submission {
  name: string
  number: number
  host: string
  reply: OperatorReply
}
