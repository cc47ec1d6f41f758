import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Platform } from './Platform.mjs'

const MAXIMUM_MILLISECONDS = 115_000

export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** Runs a case with a record of all that happens, and exits with its result. */
export async function runCase (folder, play) {
  const lines = []
  const startedAt = performance.now()
  const record = (event, fields = {}) => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${event} ${Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')}`) }
  const platform = new Platform(record)
  const finish = async (result) => {
    await platform.stop().catch((error) => { record('stop-failed', { cause: error }) })
    record('result', { exit: result })
    writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n')
    console.log(lines.filter((line) => / (verdict|result|failed) /.test(line)).join('\n'))
    process.exit(result)
  }
  const fail = (cause) => {
    record('failed', { cause })
    finish(NOT_RUN)
  }
  setTimeout(() => { fail('the case took too long') }, MAXIMUM_MILLISECONDS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { fail(signal) })
  process.on('uncaughtException', (error) => { fail(error.stack) })
  try {
    await finish(await play({ platform, record, hasTrouble: process.env.TROUBLE !== '0' }))
  } catch (error) {
    fail(error.stack)
  }
}

export function sleep (milliseconds) {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Waits until a check passes. */
export async function waitUntil (check, milliseconds, what) {
  const deadline = performance.now() + milliseconds
  while (!await check()) {
    if (performance.now() > deadline) throw new Error(`not in time: ${what}`)
    await sleep(20)
  }
}
