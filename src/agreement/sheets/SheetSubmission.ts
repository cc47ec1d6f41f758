/** A sheet submitted by an operator. */
export interface SheetSubmission {
  /** Number of the sheet, assigned by the planners. */
  number: number
  /** SHA-256 of the content in UTF-8, 64 lower-case hexadecimal digits. */
  digest: string
  content: string
  /** Name of the operator. */
  operator: string
}
