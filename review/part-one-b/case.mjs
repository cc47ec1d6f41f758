// After a zone was cut off for five seconds, in which no server crashed, a popular request is refused with 422 for ten minutes.
import { fileURLToPath } from 'node:url'
import { Case } from '../standins-3/case.mjs'
import { Announcer, CannotRun, composeConfig, parseAnswer, rawClient, sleep } from '../standins-3/system.mjs'

const SERVERS = 3
const WORK_MILLISECONDS = 900
const CLIENTS = 12
const CUT_MILLISECONDS = 5_000
const CONTACT_MILLISECONDS = 5_000
const TRAFFIC_MILLISECONDS = 40_000
const test = new Case(fileURLToPath(new URL('.', import.meta.url)), { zones: { 'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c', 'zone-d': 'region-a' }, cores: ['zone-a', 'zone-b', 'zone-c'], entries: ['zone-a', 'zone-b'] })
const { system } = test

await test.play(async () => {
  await system.start()
  const { status } = await system.order('POST', '/config/replace', composeConfig({ routes: [{ name: 'stock', prefix: '/stock/', type: 'idempotent', timeout: 1.5, aim: 1, attempts: 2 }] }))
  if (status !== 200) throw new CannotRun(`the configuration got ${status}`)
  const links = await startServers()
  await system.waitReady()
  await sleep(3_000)

  const counts = { all: 0, denied: 0 }
  let healedAt = performance.now()
  const seconds = []
  const startedAt = performance.now()
  const clients = Array.from({ length: CLIENTS }, async (_, index) => {
    while (performance.now() - startedAt < TRAFFIC_MILLISECONDS) {
      counts.all += 1
      const path = index % 2 === 0 ? '/stock/megaphones' : `/stock/kit-${counts.all}`
      const sentAt = performance.now()
      const { bytes, end } = await rawClient(system.front(index % 4 < 2 ? 0 : 1), `GET ${path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: attempt-${counts.all}\r\nDeadline-Ms: 4000\r\n\r\n`, 5_000)
      const code = parseAnswer(bytes)?.status ?? end
      const second = Math.floor((performance.now() - startedAt) / 1000)
      const name = `${index % 2 === 0 ? '/stock/megaphones' : 'other paths'}: ${code}`
      seconds[second] ??= {}
      seconds[second][name] = (seconds[second][name] ?? 0) + 1
      const isDenied = code >= 300 && code < 500 && ![408, 421, 429].includes(code)
      if (isDenied && sentAt > healedAt + CONTACT_MILLISECONDS) counts.denied += 1
      await sleep(200)
    }
  })
  await sleep(5_000)
  if (test.hasTrouble) {
    test.note('zone-d is cut off from the others')
    await Promise.all(links.map((link) => link.cut()))
    await sleep(CUT_MILLISECONDS)
    for (const link of links) link.join()
    healedAt = performance.now()
    test.note('the cut heals')
  }
  await Promise.all(clients)
  seconds.forEach((answers, second) => { test.note(`answers in second ${second} of the traffic: ${Object.entries(answers).map(([name, count]) => `${name} x ${count}`).join(', ')}`) })
  const allowed = 5 + counts.all / 500
  test.note(`${counts.all} requests, ${counts.denied} of those sent later than contact_s after the cut ended with a 4xx of the system; allowed ${allowed.toFixed(1)}`)
  return counts.denied > allowed ? `DENIED: ${counts.denied} of ${counts.all} proper requests were ended with a 4xx, by machines in touch` : undefined
})

async function startServers () {
  const links = []
  for (let index = 0; index < SERVERS; index += 1) {
    const id = `i-${index}`
    const address = `${system.subnet}.${100 + index}:${system.port}`
    const backEnd = `${system.subnet}.${150 + index}:${system.port}`
    await test.startServer({ address: backEnd, id, work: WORK_MILLISECONDS })
    const link = await test.openLink(address, backEnd)
    new Announcer(system, { id, address, zone: 'zone-d' }, () => link.isCut).run()
    links.push(link)
  }
  return links
}
