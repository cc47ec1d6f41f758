import type { Step } from '../types/Step.js'

/** Fields of one log line; undefined fields are omitted. */
export interface LogFields {
  step: Step
  peer?: string
  request?: string
  [field: string]: string | number | boolean | undefined
}

/** Log that writes one line of key=value pairs per event. */
export interface Log {
  info (event: string, fields: LogFields): void
  warn (event: string, fields: LogFields): void
  error (event: string, fields: LogFields): void
}
