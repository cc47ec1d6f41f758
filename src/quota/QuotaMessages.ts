/** What an entry host needs for one account, as a compact row. */
export type QuotaRow = [
  account: string,
  /** Number of requests that wait for a token. */
  waiting: number,
  /** Number of tokens wanted beyond that for requests to come. */
  inAdvance: number,
  /** Number of unexpired tokens that the entry host still has. */
  held: number,
  /** Number of requests that arrived since the last call, refused ones included. */
  arrivals: number
]

/** Call of an entry host for the tokens of all accounts that need some. */
export interface QuotaRequest {
  /** Identifies one run of one entry host. */
  client: string
  rows: QuotaRow[]
}

/** Answer to a row: the tokens granted, and the time until there are some if not all waiting requests got one. */
export type QuotaGrant = [granted: number, waitMilliseconds: number]

/** Answer to a {@link QuotaRequest}: one grant per row in the same order; null for an account that the control host does not know, or if another one grants the part of its domain. */
export interface QuotaReply {
  grants: Array<QuotaGrant | null>
}
