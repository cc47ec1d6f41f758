/** A host that may have a newer sheet. */
export interface SpreadPeer {
  /** Name of the host, unique in the system. */
  name: string
  /** Address for peer calls, `ip:port`. */
  address: string
  /** Number of the sheet in force there, as last received by this host; 0 if unknown. */
  sheetNumber: number
}
