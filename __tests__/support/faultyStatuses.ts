/** What an upstream writes in place of a valid answer. */
export interface FaultyStatus {
  name: string
  /** First header line and what follows it; the fields that identify the request come between. */
  statusLine: string
  rest: string
  /** Whether the upstream ends its connection behind it. */
  ends: boolean
}

const SHORT_BODY = 'content-length: 2\r\n\r\nno'

/** Heads that are no answer: the status is none of HTTP, or announces an answer that never comes. */
export const FAULTY_STATUSES: FaultyStatus[] = [
  ...['000', '001', '099', '600', '700', '999'].map((status) => ({ name: `status ${status}`, statusLine: `HTTP/1.1 ${status} Odd`, rest: SHORT_BODY, ends: false })),
  { name: 'status 099 in chunks', statusLine: 'HTTP/1.1 099 Odd', rest: 'transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n', ends: false },
  ...['000', '099', '999'].map((status) => ({ name: `status ${status} until the connection ends`, statusLine: `HTTP/1.1 ${status} Odd`, rest: '\r\nno', ends: true })),
  ...['100', '102', '103', '199'].map((status) => ({ name: `only an interim head with status ${status}`, statusLine: `HTTP/1.1 ${status} Odd`, rest: '\r\n', ends: true })),
  { name: 'an interim head with a body', statusLine: 'HTTP/1.1 103 Odd', rest: SHORT_BODY, ends: true },
  { name: 'status 101 without an upgrade', statusLine: 'HTTP/1.1 101 Switching Protocols', rest: 'connection: upgrade\r\nupgrade: other\r\n\r\n', ends: false },
  { name: 'status 101 without a field for it', statusLine: 'HTTP/1.1 101 Switching Protocols', rest: '\r\n', ends: true }
]

/** Answers without a body, whatever their head says, and bytes behind them. */
export const BODILESS_STATUSES = ['204', '304'].flatMap((status) => [
  { status, rest: SHORT_BODY },
  { status, rest: 'transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n' },
  { status, rest: '\r\nno' }
])
