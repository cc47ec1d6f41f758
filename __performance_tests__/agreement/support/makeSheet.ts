/**
 * @param random - source of numbers
 * @param bytes - length wanted
 * @returns text like a sheet's guest blocks
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
