const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length', 'expect'
])
const INTERNAL_PREFIX = 'hibiscusrelay-'

/**
 * @param name - name of a header in lower case
 * @returns whether the header applies to one connection only, or is set by hibiscusrelay itself
 */
export function isHopByHopHeader (name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name) || name.startsWith(INTERNAL_PREFIX)
}
