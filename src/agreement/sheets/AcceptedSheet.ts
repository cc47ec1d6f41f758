/** Record of a recently accepted sheet, without its content. */
export interface AcceptedSheet {
  number: number
  /** SHA-256 of the content, in hexadecimal. */
  digest: string
  /** Position in the order of acceptance, from 1; a higher revision replaces a lower one. */
  revision: number
  /** Wall-clock time at which the submitting host proposed the sheet, in milliseconds since 1970. */
  acceptedAt: number
  /** Name of the operator; undefined for sheets that were accepted long ago. */
  operator?: string
}
