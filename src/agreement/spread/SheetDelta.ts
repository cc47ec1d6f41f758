/** Identification of the sheet that a {@link SheetDelta} applies to. */
export interface DeltaBase {
  revision: number
  /** SHA-256 of the content, in hexadecimal. */
  digest: string
}

/** A part of the new content: offset and length of a copied part of the old content, in UTF-16 units, or new text. */
export type DeltaPiece = [from: number, length: number] | string

/** The difference from one sheet to a newer one. */
export interface SheetDelta {
  base: DeltaBase
  /** Revision of the newer sheet. */
  revision: number
  /** Length of the newer content in UTF-16 units. */
  length: number
  /** Parts of the newer content, in order. */
  pieces: DeltaPiece[]
}
