/** Secrets, read from the files that the settings name. */
export interface Secrets {
  /** Key that authenticates calls between hosts. */
  peerKey: string
  /** Token of each operator by name. */
  operatorTokens: Map<string, string>
}
