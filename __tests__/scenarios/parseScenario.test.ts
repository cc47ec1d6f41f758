import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseMilliseconds, parseScenario } from './parseScenario.js'

test('a step is parsed into verb, words and options; comments and blank lines are skipped', () => {
  const steps = parseScenario('# comment\n\nupstream inventario oviedo count=2 slots=3 # two\nexpect failed a <= 0 within 2s')
  assert.deepEqual(steps.map(({ line, verb, words }) => ({ line, verb, words })), [
    { line: 3, verb: 'upstream', words: ['inventario', 'oviedo'] },
    { line: 4, verb: 'expect', words: ['failed', 'a', '<=', '0', 'within', '2s'] }
  ])
  assert.deepEqual([...steps[0]!.options], [['count', '2'], ['slots', '3']])
})

test('the value of an option is the text after its first equals sign', () => {
  const [step] = parseScenario('load a path=work?mark=crash')
  assert.equal(step?.options.get('path'), 'work?mark=crash')
})

for (const [text, milliseconds] of [['250ms', 250], ['2s', 2000], ['1.5', 1500]] as const) {
  test(`the time ${text} is ${milliseconds} ms`, () => { assert.equal(parseMilliseconds(text), milliseconds) })
}

test('a word that is not a time is rejected', () => { assert.throws(() => parseMilliseconds('soon'), /expected a time/) })
