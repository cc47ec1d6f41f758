#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import { createLog, loadSettings, SettingsError, Step, type Settings } from '../hibiscusrelay.js'
import { Daemon } from './Daemon.js'

const EXIT_REQUESTS_ABORTED = 1
const EXIT_SETTINGS_INVALID = 2

const checkCommand = defineCommand({
  meta: { name: 'check', description: 'Check a settings file and report all faults' },
  args: { settings: { type: 'positional', description: 'Settings file', required: true } },
  run: ({ args }) => {
    const settings = readSettings(args.settings)
    console.log(`${args.settings}: ok, host ${settings.host.name} in failure domain ${settings.host.domain}`)
  }
})

const startCommand = defineCommand({
  meta: { name: 'hibiscusrelayd', description: 'Run a host of the system; `hibiscusrelayd check SETTINGS` only checks its settings' },
  args: { settings: { type: 'positional', description: 'Settings file', required: true } },
  run: async ({ args }) => { await runDaemon(readSettings(args.settings)) }
})

function readSettings (file: string): Settings {
  try {
    return loadSettings(file)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    console.error(error.message)
    for (const { file: faultFile, section, key, problem } of error.faults) console.error(`${faultFile}: [${section}] ${key}: ${problem}`)
    process.exit(EXIT_SETTINGS_INVALID)
  }
}

async function runDaemon (settings: Settings): Promise<void> {
  const log = createLog(settings.host.name)
  const daemon = new Daemon(settings, log)
  process.on('SIGTERM', () => { stopDaemon(daemon) })
  process.on('SIGINT', () => { stopDaemon(daemon) })
  process.on('unhandledRejection', (cause) => { log.error('unhandled-rejection', { step: Step.Stop, cause: String(cause) }) })
  await daemon.start()
}

let isStopRequested = false

function stopDaemon (daemon: Daemon): void {
  if (isStopRequested) {
    console.error(`stopped immediately; aborted requests: ${daemon.status().inFlight}`)
    process.exit(EXIT_REQUESTS_ABORTED)
  }
  isStopRequested = true
  daemon.stop().then((abortedRequests) => { process.exit(abortedRequests > 0 ? EXIT_REQUESTS_ABORTED : 0) }, () => { process.exit(EXIT_REQUESTS_ABORTED) })
}

if (process.argv[2] === 'check') await runMain(defineCommand({ meta: { name: 'hibiscusrelayd' }, subCommands: { check: checkCommand } }))
else await runMain(startCommand)
