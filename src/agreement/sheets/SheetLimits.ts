/** Limits on the retained records and contents of accepted sheets. */
export interface SheetLimits {
  /** Maximum number of sheets whose number, digest, revision and time are retained: a week at 5,500 a day. */
  rememberedSheets: number
  /** Maximum number of sheets that are also listed with their operator. */
  listedSheets: number
  /** Maximum number of sheets whose content is retained, including the current one. */
  keptContents: number
  /** Maximum number of bytes of packed content retained, in addition to the current sheet. */
  keptContentBytes: number
}

/** Default limits, for sheets of some megabytes. */
export const defaultSheetLimits: SheetLimits = {
  rememberedSheets: 38_500,
  listedSheets: 1_000,
  keptContents: 5,
  keptContentBytes: 4 * 1024 * 1024
}
