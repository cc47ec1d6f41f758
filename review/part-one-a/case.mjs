// An answer without a length, whose server crashes behind a cut and starts again there, reaches the client as a whole success.
import { fileURLToPath } from 'node:url'
import { Case } from '../standins-3/case.mjs'
import { Announcer, CannotRun, composeConfig, parseAnswer, rawClient, sleep } from '../standins-3/system.mjs'

const SERVERS = 6
const WORK_MILLISECONDS = 5_000
const CUT_MILLISECONDS = 2_800
const DOWN_MILLISECONDS = 2_000
const test = new Case(fileURLToPath(new URL('.', import.meta.url)), { entries: ['zone-a', 'zone-b'] })
const { system } = test

await test.play(async () => {
  await system.start()
  const { status } = await system.order('POST', '/config/replace', composeConfig({ routes: [{ name: 'bookings', prefix: '/bookings/', type: 'non_idempotent', timeout: 8, aim: 6, attempts: 2 }] }))
  if (status !== 200) throw new CannotRun(`the configuration got ${status}`)
  const runs = new Map()
  const answers = new Map()
  const onEvent = ({ event, attempt, id, body }) => {
    test.note(`server ${id}: ${event} ${attempt ?? ''}`)
    if (event === 'run') runs.set(attempt, [...runs.get(attempt) ?? [], id])
    if (event === 'answered') answers.set(attempt, body)
  }
  const zones = Object.keys(system.options.zones)
  const servers = []
  for (let index = 0; index < SERVERS; index += 1) {
    const address = `${system.subnet}.${100 + index}:${system.port}`
    const backEnd = `${system.subnet}.${150 + index}:${system.port}`
    const link = await test.openLink(address, backEnd)
    const id = `i-${index}`
    const child = await test.startServer({ address: backEnd, id, work: WORK_MILLISECONDS, framing: 'unframed' }, onEvent)
    const announcer = new Announcer(system, { id, address, zone: zones[index % zones.length] }, () => link.isCut)
    announcer.run()
    servers.push({ id, address, backEnd, link, child, announcer, zone: zones[index % zones.length] })
  }
  await system.waitReady()
  await sleep(3_000)

  const clients = Array.from({ length: SERVERS }, async (_, index) => {
    const attempt = `attempt-${index}`
    test.note(`client sends ${attempt}`)
    const { bytes, end } = await rawClient(system.front(index % 2), `POST /bookings/${index} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ${attempt}\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n`, 10_000)
    const answer = parseAnswer(bytes)
    test.note(`client got for ${attempt}: ${answer?.status}, signature ${answer?.headers['response-signature']}, connection ended by ${end}, body ${JSON.stringify(answer?.body.toString())}`)
    return { attempt, end, answer }
  })
  await sleep(500)
  const target = servers.find(({ id }) => [...runs.values()].some((ids) => ids.includes(id)))
  if (target === undefined) throw new CannotRun('no server runs a request')
  if (test.hasTrouble) await crashBehindCut(target, onEvent)
  const results = await Promise.all(clients)
  const mixed = results.filter(({ attempt, end, answer }) => {
    const isSuccess = answer !== undefined && answer.status >= 200 && answer.status < 300
    return isSuccess && end === 'end' && answer.body.toString() !== answers.get(attempt)
  })
  return mixed.length === 0 ? undefined : `MIXED: ${mixed.map(({ attempt }) => attempt).join(', ')} got a success with a part of the server's body`
})

async function crashBehindCut (server, onEvent) {
  test.note(`${server.id} is cut off from all machines`)
  await server.link.cut()
  await sleep(200)
  server.announcer.stop()
  server.child.removeAllListeners('exit')
  server.child.kill('SIGKILL')
  test.note(`${server.id} crashes behind the cut`)
  await sleep(DOWN_MILLISECONDS)
  const id = `${server.id}-again`
  await test.startServer({ address: server.backEnd, id, work: WORK_MILLISECONDS, framing: 'unframed' }, onEvent)
  test.note(`it starts again as ${id}`)
  const announcer = new Announcer(system, { id, address: server.address, zone: server.zone }, () => server.link.isCut)
  announcer.run()
  await sleep(CUT_MILLISECONDS - DOWN_MILLISECONDS - 500)
  server.link.join()
  test.note('the cut heals')
}
