import type { OperatorReply } from './callOperator.js'

/** A submission of a sheet, or another call to an operator interface, that a scenario made. */
export interface Submission {
  name: string
  number: number
  host: string
  reply: OperatorReply
}
