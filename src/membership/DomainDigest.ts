/** Hash over the record versions of all live and suspect hosts of one failure domain. */
export interface DomainDigest {
  domain: string
  hash: number
}
