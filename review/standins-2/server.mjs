/**
 * A server process. A request under `/long/` gets the first half of its body at once and the rest after a while; the first such answer of
 * the process has no length and ends with its connection, all others state their length, unless the settings say that none does. Settings
 * are JSON in the first argument. What it does is told on standard output, one JSON line each.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { post } from './httpCall.mjs'

const { id, service, zone, slots, heartbeatSeconds, controlAddresses, announcedAddress, listenAddress, pauseMilliseconds, workMilliseconds = 20, coldSeconds = 0, statesLength = true, body } = JSON.parse(process.argv[2])
const born = Date.now()
const [host, port] = listenAddress.split(':')
let running = 0
let sequence = 0
let longAnswers = 0

function tell (event, details = {}) {
  process.stdout.write(`${JSON.stringify({ event, server: id, ...details })}\n`)
}

async function answer (request, response) {
  const attempt = request.headers['attempt-id']
  const load = () => ({ 'server-load': `${running},0,${slots}` })
  if (request.url === '/health') {
    response.writeHead(200, { 'instance-id': id, 'content-length': 0, ...load() }).end()
    return
  }
  if (request.headers['expected-instance'] !== undefined && request.headers['expected-instance'] !== id) {
    tell('rejected', { attempt, status: 421 })
    response.writeHead(421, { 'attempt-id': attempt, 'not-executed': '1', 'content-length': 0, ...load() }).end()
    return
  }
  await once(request.resume(), 'end')
  running += 1
  const isLong = request.url.startsWith('/long/')
  const hasLength = !isLong || longAnswers > 0
  longAnswers += isLong ? 1 : 0
  tell('run', { attempt, path: request.url })
  const headers = { 'attempt-id': attempt, 'response-signature': `3e1b.07.5a2.${body.length}.0.${attempt}`, 'content-type': 'text/plain', ...load() }
  if (isLong) await answerLong(response, headers, hasLength, attempt)
  else {
    await sleep(workMilliseconds)
    if (!statesLength) endWithConnection(response)
    response.writeHead(200, statesLength ? { ...headers, 'content-length': body.length } : headers).end(body)
    tell('answer-written', { attempt })
  }
  running -= 1
}

function endWithConnection (response) {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

async function answerLong (response, headers, hasLength, attempt) {
  if (!hasLength) endWithConnection(response)
  response.writeHead(200, hasLength ? { ...headers, 'content-length': body.length } : headers)
  response.write(body.slice(0, body.length / 2))
  tell('answer-half-written', { attempt, hasLength })
  await sleep(pauseMilliseconds)
  response.end(body.slice(body.length / 2))
  tell('answer-written', { attempt })
}

/** A 2xx within a second acknowledges a heartbeat; otherwise the next node is called. */
async function announce () {
  for (let attempt = 0; ; attempt += 1) {
    const document = { service, address: announcedAddress, zone, version: 'v1', slots, state: 'ready', cold_remaining_s: Math.max(0, coldSeconds - (Date.now() - born) / 1000), sequence: ++sequence, born }
    const { status, cause } = await post(controlAddresses[attempt % controlAddresses.length], `/instances/${id}/heartbeat`, document)
    if (status !== 200 || sequence === 1) tell('heartbeat-answered', { status, cause, sequence })
    if (status === 200) return
    await sleep(100)
  }
}

createServer((request, response) => { answer(request, response).catch(() => { response.destroy() }) }).listen(Number(port), host, async () => {
  tell('listening', { listenAddress, announcedAddress })
  for (;;) {
    await announce()
    await sleep(heartbeatSeconds * 1000)
  }
})
