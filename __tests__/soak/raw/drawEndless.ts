import type { EndlessPart } from '../../support/EndlessWriter.js'
import type { Draw } from '../Draw.js'

/** Bytes without end, and where they begin. */
export interface EndlessMessage extends EndlessPart {
  name: string
  /** What goes between the first line and them; undefined when they take the place of the first line. */
  beginning: string | undefined
}

const PIECE_BYTES = [1, 1, 2, 16, 200, 4_096, 65_536]
const LONGEST_PAUSE_MILLISECONDS = 40
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const repeat = (filling: string): string => filling

type Form = readonly [beginning: string | undefined, createPiece: (filling: string) => string]

/** Forms of a message that goes on within its head or its body, or before its beginning. */
const FORMS: Record<string, Form> = {
  chunks: [CHUNKED, (filling) => `${filling.length.toString(16)}\r\n${filling}\r\n`],
  'chunk-size': [CHUNKED, (filling) => '0'.repeat(filling.length)],
  'one-chunk': [`${CHUNKED}1000000000\r\n`, repeat],
  extension: [`${CHUNKED}1;`, repeat],
  trailers: [`${CHUNKED}0\r\n`, (filling) => `X-Endless: ${filling}\r\n`],
  length: ['Content-Length: 1000000000000\r\n\r\n', repeat],
  undelimited: ['\r\n', repeat],
  field: ['X-Endless: ', repeat],
  fields: ['', (filling) => `X-Endless: ${filling}\r\n`],
  interim: [undefined, (filling) => `HTTP/1.1 103 S\r\nX-Endless: ${filling}\r\n\r\n`],
  continue: [undefined, () => 'HTTP/1.1 100 Continue\r\n\r\n'],
  garbage: [undefined, repeat],
  lines: [undefined, (filling) => `${filling}\r\n`]
}
/** Chunks are drawn more often, as each is handed over by itself. */
const CHUNKS_SHARE = 0.4

/** Draws what is written without end: its form, its pieces from one byte to 64 KB, their pace. */
export function drawEndless (draw: Draw): EndlessMessage {
  const name = draw.chance(CHUNKS_SHARE) ? 'chunks' : draw.pick(Object.keys(FORMS))
  const [beginning, createPiece] = FORMS[name]!
  const size = draw.pick(PIECE_BYTES)
  const text = createPiece('x'.repeat(size))
  const pauseMilliseconds = draw.chance(0.5) ? draw.between(1, LONGEST_PAUSE_MILLISECONDS) : undefined
  const writeBytes = pauseMilliseconds !== undefined && draw.chance(0.5) ? text.length : undefined
  const pace = pauseMilliseconds === undefined ? '' : ` every ${Math.round(pauseMilliseconds)} ms`
  return { name: `${name} of ${size}${pace}${writeBytes === undefined ? '' : ' by piece'}`, beginning, text, pauseMilliseconds, writeBytes }
}
