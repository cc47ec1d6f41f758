import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { AnswerHead } from '../../src/relay/exchange.js'
import { HeadOrigin } from '../../src/relay/HeadOrigin.js'
import { RepeatedAnswer } from '../../src/relay/RepeatedAnswer.js'
import { separateAnswers } from '../../src/relay/separateAnswers.js'

const STATUS = 200
const OWN_HEAD = 'HTTP/1.1 200 OK\r\nId: own\r\n\r\n'
const OTHER_HEAD = 'HTTP/1.1 200 OK\r\nId: other\r\n\r\n'
const PLAIN_HEAD = 'HTTP/1.1 200 OK\r\n\r\n'

function identify ({ headers }: AnswerHead): HeadOrigin {
  const id = headers.find(({ name }) => name === 'id')?.value
  if (id === undefined) return HeadOrigin.Unknown
  return id === 'own' ? HeadOrigin.SameRequest : HeadOrigin.Upstream
}

function separate (text: string): { body: string, found: RepeatedAnswer | undefined } {
  const { body, found } = separateAnswers(Buffer.from(text), STATUS, identify)
  return { body: String(body), found }
}

for (const { name, text, body } of [
  { name: 'a copy', text: `one${OWN_HEAD}one`, body: 'one' },
  { name: 'two copies', text: `one${OWN_HEAD}one${OWN_HEAD}one`, body: 'one' },
  { name: 'a copy without identifier', text: `one${PLAIN_HEAD}one`, body: 'one' },
  { name: 'a copy of an empty answer', text: OWN_HEAD, body: '' },
  { name: 'two copies of an empty answer', text: OWN_HEAD + OWN_HEAD, body: '' },
  { name: 'a copy of a body that contains a message', text: `${PLAIN_HEAD}one${OWN_HEAD}${PLAIN_HEAD}one`, body: `${PLAIN_HEAD}one` }
]) {
  test(`${name} is cut off`, () => { assert.deepEqual(separate(text), { body, found: RepeatedAnswer.CutOff }) })
}

for (const { name, text } of [
  { name: 'the answer to another request', text: `one${OTHER_HEAD}two` },
  { name: 'a copy that names another request', text: `one${OTHER_HEAD}one` },
  { name: 'another body', text: `one${OWN_HEAD}two` },
  { name: 'a part of the body', text: `one${OWN_HEAD}on` },
  { name: 'another status', text: `one${OWN_HEAD.replace('200', '500')}one` },
  { name: 'an interim response and a copy', text: `oneHTTP/1.1 103 Early Hints\r\n\r\n${OWN_HEAD}one` },
  { name: 'a copy and a part of a head', text: `one${OWN_HEAD}one${OWN_HEAD.slice(0, 12)}` },
  { name: 'a head without identifier behind an empty answer', text: PLAIN_HEAD }
]) {
  test(`${name} leaves open where the answer ends`, () => { assert.equal(separate(text).found, RepeatedAnswer.Ambiguous) })
}

for (const text of ['', 'one', `one${PLAIN_HEAD}two`, `${PLAIN_HEAD}one${PLAIN_HEAD}one`, `one${PLAIN_HEAD.replace('200', '500')}one`, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n', 'HTTP']) {
  test(`${JSON.stringify(text)} is one body`, () => { assert.deepEqual(separate(text), { body: text, found: undefined }) })
}

test('copies of any body are cut off, and anything behind a marked head is never part of a body', () => {
  const texts = fc.string({ unit: 'binary', maxLength: 40 }).filter((text) => !text.includes('HTTP'))
  fc.assert(fc.property(texts, texts, fc.integer({ min: 1, max: 3 }), (first, second, copies) => {
    assert.deepEqual(separate(first + `${OWN_HEAD}${first}`.repeat(copies)), { body: first, found: RepeatedAnswer.CutOff })
    const { body, found } = separate(first + OWN_HEAD + second)
    assert.ok(found === RepeatedAnswer.Ambiguous || (found === RepeatedAnswer.CutOff && body === first && first === second))
  }))
})
