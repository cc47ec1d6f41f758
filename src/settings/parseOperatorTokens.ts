/**
 * Parses the token file of the operators: one `name:token` per line; empty lines and lines that start with `#` are ignored.
 *
 * @param text - content of the file
 * @returns the token of each operator by name, undefined when a line is malformed or the file has no token
 */
export function parseOperatorTokens (text: string): Map<string, string> | undefined {
  const tokens = new Map<string, string>()
  for (const line of text.split('\n').map((part) => part.trim())) {
    if (line === '' || line.startsWith('#')) continue
    const match = /^([a-z0-9-]+):(\S{16,})$/.exec(line)
    if (match === null) return undefined
    tokens.set(match[1]!, match[2]!)
  }
  return tokens.size > 0 ? tokens : undefined
}
