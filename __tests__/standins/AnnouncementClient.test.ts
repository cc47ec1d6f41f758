import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import type { AnnouncedUpstream } from './AnnouncedUpstream.js'
import type { AnnouncementAnswer } from './AnnouncementAnswer.js'
import { AnnouncementClient } from './AnnouncementClient.js'
import { waitUntil } from './waitUntil.js'

const UPSTREAM: AnnouncedUpstream = {
  service: 'desk',
  address: '127.0.0.9:1',
  slots: 3,
  connections: 660,
  echoesRequest: true,
  countRunning: () => 0,
  readLoad: () => undefined,
  onLeaveRequested: () => {}
}

interface Announcement {
  state: string
  sequence: number
  echo?: { host: string, stamp: number }
  heldBy?: { host: string, remainingMilliseconds: number }
}

class FakeHost {
  readonly announcements: Announcement[] = []
  readonly name: string
  address = ''
  owner: FakeHost = this
  answerOverrides: Partial<AnnouncementAnswer> = {}

  constructor (name: string) {
    this.name = name
  }

  async start (context: TestContext): Promise<void> {
    const server = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk) => { text += String(chunk) })
      request.on('end', () => { response.end(JSON.stringify(this.#answer(JSON.parse(text) as Announcement))) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    context.after(() => { server.close(); server.closeAllConnections() })
  }

  #answer (announcement: Announcement): AnnouncementAnswer {
    this.announcements.push(announcement)
    return {
      owner: { name: this.owner.name, guestAddress: this.owner.address },
      host: { name: this.name, incarnation: 1 },
      stamp: this.announcements.length,
      leaseMilliseconds: 400,
      nextAnnouncementMilliseconds: this.announcements.length === 1 ? 0 : 30,
      hosts: [],
      ...this.answerOverrides
    }
  }
}

async function startClient (context: TestContext): Promise<{ first: FakeHost, second: FakeHost, client: AnnouncementClient, done: Promise<void> }> {
  const first = new FakeHost('h1')
  const second = new FakeHost('h2')
  await first.start(context)
  await second.start(context)
  const client = new AnnouncementClient(UPSTREAM, [first.address, second.address])
  const done = client.run()
  context.after(() => { client.stop() })
  return { first, second, client, done }
}

test('the second announcement echoes the stamp of the first answer', async (context) => {
  const { first } = await startClient(context)
  await waitUntil(() => first.announcements.length > 1)
  assert.equal(first.announcements[0]?.echo, undefined)
  assert.deepEqual(first.announcements[1]?.echo, { host: 'h1', incarnation: 1, stamp: 1 })
})

test('announcements to a new owner name the holder of the grant, and grant the upstream once that grant has expired', async (context) => {
  const { first, second } = await startClient(context)
  await waitUntil(() => first.announcements.length > 1)
  first.owner = second
  await waitUntil(() => second.announcements.some((each) => each.echo?.host === 'h2'))
  const granted = second.announcements.findIndex((each) => each.echo !== undefined)
  assert.ok(granted > 0)
  for (const each of second.announcements.slice(0, granted)) assert.equal(each.heldBy?.host, 'h1')
  assert.equal(second.announcements[granted]?.heldBy, undefined)
})

test('after its holder released the grant, the new owner gets the grant at once', async (context) => {
  const { first, second } = await startClient(context)
  await waitUntil(() => first.announcements.length > 1)
  first.owner = second
  first.answerOverrides = { released: true }
  await waitUntil(() => second.announcements.length > 1)
  assert.equal(second.announcements[0]?.heldBy, undefined)
  assert.equal(second.announcements[1]?.echo?.host, 'h2')
})

test('after an unanswered announcement the next one goes to the next host', async (context) => {
  const { second, client } = await startClient(context)
  client.stop()
  const other = new AnnouncementClient(
    UPSTREAM,
    ['127.0.0.1:1', second.address]
  )
  const done = other.run()
  await waitUntil(() => second.announcements.length > 0)
  other.stop()
  await done
  assert.ok(second.announcements.length > 0)
})

test('an upstream that leaves announces it at once, and stops announcing when it is drained', async (context) => {
  const { first, client, done } = await startClient(context)
  await waitUntil(() => first.announcements.length > 1)
  first.answerOverrides = { drained: true }
  client.leave()
  await done
  assert.equal(first.announcements.at(-1)?.state, 'leaving')
})
