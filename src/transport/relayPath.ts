/** Path on the peer listener for requests that a host forwards to another. */
export const RELAY_PATH = '/relay'

/** Header with the head of a forwarded request. */
export const RELAY_HEAD_HEADER = 'hibiscusrelay-head'
