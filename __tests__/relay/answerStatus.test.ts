import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { BODILESS_STATUSES, FAULTY_STATUSES } from '../support/faultyStatuses.js'
import { forwardThroughOwner } from './forwardThroughOwner.js'

const FIELDS = 'echo: r-1\r\n'

function readIdentifier (head: string): string {
  return /hibiscusrelay-request: (\S+)/i.exec(head)?.[1] ?? ''
}

for (const { name, statusLine, rest, ends } of FAULTY_STATUSES) {
  // Guards against an upstream's fault that is passed on between hosts as an answer, or that leaves the request without one.
  test(`daemon form, ${name}: the request is answered as lost, and runs once`, async (context) => {
    const { answer, runs } = await forwardThroughOwner(context, (socket, head) => {
      const text = `${statusLine}\r\nhibiscusrelay-request: ${readIdentifier(head)}\r\n${FIELDS}${rest}`
      if (ends) socket.end(text)
      else socket.write(text)
    })
    assert.equal(answer.outcome, Outcome.Unknown)
    assert.equal(answer.status, 502)
    assert.equal(answer.reason, RefusalReason.AnswerLost)
    assert.equal(runs, 1)
  })
}

for (const { status, rest } of BODILESS_STATUSES) {
  // Guards against a body that belongs to no answer.
  test(`daemon form, status ${status} with ${JSON.stringify(rest)}: the answer has no body`, async (context) => {
    const { answer } = await forwardThroughOwner(context, (socket, head) => {
      socket.write(`HTTP/1.1 ${status} Odd\r\nhibiscusrelay-request: ${readIdentifier(head)}\r\n${FIELDS}${rest}`)
    })
    assert.equal(answer.status, Number(status))
    assert.equal(String(answer.body), '')
  })
}
