// A router without any policy, for comparison: it sends each request to a random upstream, with no owner, no queue,
// no budget and no retry. Its look-ups return the routers, or the upstreams if guests send to them directly.
// The argument holds the settings as JSON, see RouterSettings.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Agent, request as sendRequest } from 'undici'
import type { RouterSettings } from './RouterSettings.js'

const LOOKUP_LIFETIME_SECONDS = 3600

const settings = JSON.parse(process.argv[2] ?? '{}') as RouterSettings
const agent = new Agent({ connections: 512, pipelining: 1 })
const [ip, port] = settings.address.split(':')

const server = createServer((message, response) => {
  const url = new URL(message.url ?? '/', 'http://router')
  if (url.pathname === '/v1/lookup') answerLookup(url, response)
  else relayRequest(message, url, response).catch(() => { response.destroy() })
})
server.listen(Number(port), ip)

function answerLookup (url: URL, response: ServerResponse): void {
  const addresses = settings.entryAddresses ?? settings.upstreams[url.searchParams.get('service') ?? ''] ?? []
  const hosts = addresses.map((address) => ({ name: address, address, weight: 1, draining: false }))
  response.end(JSON.stringify({ hosts, lifetimeSeconds: LOOKUP_LIFETIME_SECONDS, ticket: 'none' }))
}

async function relayRequest (message: IncomingMessage, url: URL, response: ServerResponse): Promise<void> {
  const [, , , service = '', ...path] = url.pathname.split('/')
  const upstreams = settings.upstreams[service] ?? []
  const upstream = upstreams[Math.floor(Math.random() * upstreams.length)] ?? ''
  const chunks: Buffer[] = []
  for await (const chunk of message) chunks.push(chunk as Buffer)
  const answer = await sendRequest(`http://${upstream}/${path.join('/')}${url.search}`, {
    method: message.method === 'POST' ? 'POST' : 'GET',
    dispatcher: agent,
    body: message.method === 'POST' ? Buffer.concat(chunks) : null
  })
  const body = Buffer.from(await answer.body.arrayBuffer())
  const outcome = answer.statusCode === 200 ? 'ran' : 'not-run'
  response.writeHead(answer.statusCode, { 'Hibiscusrelay-Outcome': outcome, 'Hibiscusrelay-Reason': outcome === 'ran' ? '' : 'shed' })
  response.end(body)
}
