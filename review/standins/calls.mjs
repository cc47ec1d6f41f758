import { Agent, request } from 'node:http'

/** Sends a POST on a connection of its own, as operators and servers do; undefined when no answer came in time. */
export function postJson (address, path, body, milliseconds = 1_000) {
  const text = body === undefined ? '' : JSON.stringify(body)
  return call({ address, method: 'POST', path, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }, body: text, milliseconds }).then((answer) => answer?.status)
}

/** Reads the configuration at one core; undefined when no answer came in time. */
export function fetchConfig (address, milliseconds = 1_000) {
  return call({ address, method: 'GET', path: '/config/fetch', headers: {}, body: '', milliseconds })
}

/** @returns status and text of the answer, undefined when none came in time */
export function call ({ address, method, path, headers, body, milliseconds, agent = new Agent() }) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent }, (answer) => {
      let text = ''
      answer.on('data', (chunk) => { text += chunk })
      answer.on('end', () => {
        clearTimeout(timer)
        resolve({ status: answer.statusCode, text, headers: answer.headers })
      })
      answer.on('error', () => { resolve(undefined) })
    })
    const timer = setTimeout(() => {
      resolve(undefined)
      outgoing.destroy()
    }, milliseconds)
    outgoing.on('error', () => {
      clearTimeout(timer)
      resolve(undefined)
    })
    outgoing.end(body)
  })
}

/** An operator: it sends an order to one node after another until one acknowledges it. */
export async function order (addresses, path, body, record, milliseconds = 1_000) {
  for (const address of addresses) {
    record('order', { path, to: address })
    const status = await postJson(address, path, body, milliseconds)
    record('order-answer', { path, to: address, status: status ?? 'none' })
    if (status === 200) return address
    if ([400, 409, 412, 413, 422].includes(status)) throw new Error(`order refused with ${status}`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
  return undefined
}
