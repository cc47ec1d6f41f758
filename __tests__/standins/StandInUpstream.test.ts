import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { Client, request } from 'undici'
import { completeStandInSettings } from './completeStandInSettings.js'
import { digestBody, type EchoBody } from './EchoBody.js'
import { InjectedFault } from './InjectedFault.js'
import { RunEvent } from './RunEvent.js'
import type { RunLine } from './RunLine.js'
import type { StandInSettings } from './StandInSettings.js'
import { StandInUpstream } from './StandInUpstream.js'
import { waitUntil } from './waitUntil.js'

interface RunningUpstream {
  url: string
  countCrashes: () => number
  readEvents: () => RunEvent[]
}

async function startUpstream (context: TestContext, settings: Partial<StandInSettings>): Promise<RunningUpstream> {
  const runLog = join(mkdtempSync(join(tmpdir(), 'standin-')), 'runs.log')
  let crashes = 0
  const upstream = new StandInUpstream(
    completeStandInSettings({ name: 'u1', service: 'desk', address: '127.0.0.1:0', runLog, ...settings }),
    () => { crashes += 1 }
  )
  const address = await upstream.start()
  context.after(async () => { await upstream.stop() })
  const readLines = (): RunLine[] => readFileSync(runLog, 'utf8').trim().split('\n').map((line) => JSON.parse(line) as RunLine)
  return { url: `http://${address}/orders`, countCrashes: () => crashes, readEvents: () => readLines().map((line) => line.event) }
}

test('an answer contains the token and the digest of its own request', async (context) => {
  const { url, readEvents } = await startUpstream(context, { serviceTimeMilliseconds: 1 })
  const answer = await request(`${url}?token=t7`, { method: 'POST', body: 'two brake pads' })
  const body = await answer.body.json() as EchoBody
  assert.equal(body.token, 't7')
  assert.equal(body.digest, digestBody('two brake pads'))
  assert.deepEqual(readEvents(), [RunEvent.Listening, RunEvent.Start, RunEvent.End])
})

test('a request above the slots is shed as not run, and logged', async (context) => {
  const { url, readEvents } = await startUpstream(context, { slots: 1, serviceTimeMilliseconds: 300 })
  const first = request(url)
  await waitUntil(() => readEvents().includes(RunEvent.Start))
  const second = await request(url)
  assert.equal(second.statusCode, 503)
  assert.equal(second.headers['hibiscusrelay-shed'], 'not-run')
  assert.equal((await first).statusCode, 200)
  assert.ok(readEvents().includes(RunEvent.SlotsExceeded))
})

test('when the connection closes, the work stops and its slot is free again', async (context) => {
  const { url, readEvents } = await startUpstream(context, { slots: 1, serviceTimeMilliseconds: 5000 })
  await assert.rejects(request(url, { signal: AbortSignal.timeout(200) }))
  await waitUntil(() => readEvents().includes(RunEvent.Cancelled))
  const answer = await request(`${url}?work=1`)
  assert.equal(answer.statusCode, 200)
  assert.deepEqual(readEvents(), [RunEvent.Listening, RunEvent.Start, RunEvent.Cancelled, RunEvent.Start, RunEvent.End])
})

test('a request marked crash makes the upstream crash', async (context) => {
  const { url, countCrashes } = await startUpstream(context, {})
  await request(`${url}?mark=crash`, { signal: AbortSignal.timeout(100) }).catch(() => {})
  assert.equal(countCrashes(), 1)
})

for (const mark of [InjectedFault.Truncated, InjectedFault.UnterminatedChunks, InjectedFault.AnswerLost]) {
  test(`a client detects that an answer marked ${mark} is broken`, async (context) => {
    const { url } = await startUpstream(context, { serviceTimeMilliseconds: 1 })
    await assert.rejects(async () => await (await request(`${url}?mark=${mark}`)).body.text())
  })
}

for (const mark of [InjectedFault.ExcessBytes, InjectedFault.Duplicated]) {
  test(`a client that reuses its connection after an answer marked ${mark} gets its own answer or an error`, async (context) => {
    const { url } = await startUpstream(context, { serviceTimeMilliseconds: 1 })
    const client = new Client(new URL(url).origin)
    context.after(async () => { await client.destroy() })
    const requestToken = async (token: string): Promise<string> => {
      const answer = await client.request({ method: 'GET', path: `/?token=${token}&mark=${token === 'a' ? mark : ''}` })
      return (await answer.body.json() as EchoBody).token
    }
    assert.ok(['a', 'error'].includes(await requestToken('a').catch(() => 'error')))
    assert.ok(['b', 'error'].includes(await requestToken('b').catch(() => 'error')))
  })
}

test('service times are the same for the same seed and shorter after the cold start', async () => {
  const { createServiceTimes } = await import('./createServiceTimes.js')
  const { ServiceTimeShape } = await import('./ServiceTimeShape.js')
  const settings = completeStandInSettings({
    name: 'u1', service: 'desk', address: '', runLog: '', seed: 5, serviceTimeShape: ServiceTimeShape.Exponential, coldStartMilliseconds: 1000, coldStartFactor: 3
  })
  const warm = createServiceTimes(settings)(1000)
  assert.equal(createServiceTimes(settings)(1000), warm)
  assert.equal(createServiceTimes(settings)(0), warm * 3)
  assert.equal(createServiceTimes(settings)(500), warm * 2)
})
