/**
 * @param random - generator of numbers from 0 up to but not including 1
 * @param bytes - minimum length, counting a newline after each line
 * @returns text of guest block lines, like that of a sheet
 */
export function makeSheet (random: () => number, bytes: number): string {
  const lines: string[] = []
  let length = 0
  while (length < bytes) {
    const pickByte = (): number => Math.floor(random() * 256)
    const line = `block,10.${pickByte()}.${pickByte()}.0/24,place-${pickByte() % 12}`
    lines.push(line)
    length += line.length + 1
  }
  return lines.join('\n')
}
