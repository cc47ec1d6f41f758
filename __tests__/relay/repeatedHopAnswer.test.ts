import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { forwardToOwner } from '../../src/relay/forwardToOwner.js'
import { openPool } from '../../src/relay/openPool.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { ANSWER_HEAD_HEADER, decodeHead, encodeHead, type RelayHead } from '../../src/relay/RelayHead.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import { RELAY_HEAD_HEADER } from '../../src/transport/relayPath.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const REQUEST_COUNT = 5
const RUN_MILLISECONDS = 20

function composeAnswer (id: string): string {
  const head = encodeHead({ id, outcome: Outcome.Ran, reason: undefined, lostUpstreams: [], status: 200, headers: [], pool: undefined })
  return `HTTP/1.1 200 OK\r\n${ANSWER_HEAD_HEADER}: ${head}\r\ncontent-length: ${id.length}\r\n\r\n${id}`
}

/** Forwards requests one after another to a host that answers each one, and writes the given bytes before the second answer. */
async function forwardAll (context: TestContext, extraBytes: string): Promise<RelayAnswer[]> {
  const server = await openRawServer((socket, text, number) => {
    const { id } = decodeHead<RelayHead>(new RegExp(`${RELAY_HEAD_HEADER}: (\\S+)`).exec(text)?.[1] ?? '')
    if (number === 2) socket.write(extraBytes)
    setTimeout(() => { if (socket.writable) socket.write(composeAnswer(id)) }, RUN_MILLISECONDS)
  })
  const connections = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 5_000 })
  context.after(async () => {
    await connections.destroy()
    await server.close()
  })
  const answers: RelayAnswer[] = []
  for (let number = 1; number <= REQUEST_COUNT; number += 1) {
    const request = { ...createRelayedRequest(`f-${number}`, 2_000), id: `r-${number}` }
    answers.push(await forwardToOwner(request, {
      address: server.address, poison: new PoisonGuard(), gone: new AbortController().signal, takeRetry: () => false, fromRegion: 'asturias', trySpend: () => true, connections, signature: new PeerSignature('k'.repeat(40)), answerBufferBytes: 1_024
    }))
  }
  return answers
}

const EXTRA_ANSWERS = {
  'the answer to an earlier request': composeAnswer('r-1'),
  'an answer without a head': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok',
  'an answer with a head that cannot be read': `HTTP/1.1 200 OK\r\n${ANSWER_HEAD_HEADER}: e30x\r\ncontent-length: 2\r\n\r\nok`
}

for (const [name, bytes] of Object.entries(EXTRA_ANSWERS)) {
  // Guards against a connection between hosts that stays one answer behind, and against defects that such an answer shows.
  test(`${name}, written by an owner, spoils only the request that met it`, async (context) => {
    const answers = await forwardAll(context, bytes)
    for (const [index, { outcome, body }] of answers.entries()) if (outcome === Outcome.Ran) assert.equal(String(body), `r-${index + 1}`)
    assert.deepEqual(answers.map(({ outcome }) => outcome), [Outcome.Ran, Outcome.Unknown, Outcome.Ran, Outcome.Ran, Outcome.Ran])
    assert.equal(answers[1]!.reason, RefusalReason.AnswerLost)
  })
}
