/** Value that an expectation compares with its bound. */
export interface Measurement {
  value: number | string
  /** Details that the report shows if the expectation fails. */
  detail?: string
}
