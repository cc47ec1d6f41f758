import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AnswerSeparator } from '../../src/relay/AnswerSeparator.js'
import { HeadOrigin } from '../../src/relay/HeadOrigin.js'
import { RepeatedAnswer } from '../../src/relay/RepeatedAnswer.js'

const BODY = 'body of an answer'
const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
const MARKED_HEAD = 'HTTP/1.1 200 OK\r\nId: i\r\n\r\n'

/** @returns the bytes that are passed on when a text arrives in chunks of the given size, and whether its end is known */
function pass (text: string, size: number): { passed: string, isWhole: boolean, found: RepeatedAnswer[] } {
  const found: RepeatedAnswer[] = []
  const separator = new AnswerSeparator(200, {
    identify: ({ headers }) => headers.some(({ name }) => name === 'id') ? HeadOrigin.SameRequest : HeadOrigin.Unknown,
    onFound: (each) => { found.push(each) }
  })
  let passed = ''
  for (let position = 0; position < text.length; position += size) {
    const bytes = separator.pass(Buffer.from(text.slice(position, position + size)))
    if (bytes === undefined) return { passed, isWhole: false, found }
    passed += String(bytes)
  }
  const last = separator.finish()
  return { passed: passed + String(last ?? ''), isWhole: last !== undefined, found }
}

for (const size of [1, 2, 7, 50, 1_000]) {
  test(`of an answer with a marked one behind it only its own bytes are passed on, in chunks of ${size}`, () => {
    const { passed, isWhole, found } = pass(BODY + MARKED_HEAD + BODY, size)
    assert.ok(BODY.startsWith(passed))
    assert.equal(isWhole, false)
    assert.deepEqual(found, [RepeatedAnswer.Ambiguous])
  })

  test(`copies without identifier are not passed on as a whole answer, in chunks of ${size}`, () => {
    for (const copies of [1, 2]) assert.equal(pass(BODY + (HEAD + BODY).repeat(copies), size).isWhole, false)
  })

  test(`a body that contains messages is passed on, in chunks of ${size}`, () => {
    for (const text of [BODY, '', BODY + HEAD, `${BODY}${HEAD}${BODY}.`, HEAD + BODY, HEAD + BODY + HEAD + BODY, `${BODY}${HEAD.replace('200', '404')}${BODY}`, `${BODY}HTTP`]) {
      assert.deepEqual(pass(text, size), { passed: text, isWhole: true, found: [] })
    }
  })
}
