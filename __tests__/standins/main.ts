// Runs stand-in upstreams in one process. The argument is a JSON list of their settings.
// SIGTERM makes all of them leave. The process exits with code 0 once they are drained, with 70 after an injected crash, and
// with 1 if leaving fails.
import { completeStandInSettings } from './completeStandInSettings.js'
import type { StandInSettings } from './StandInSettings.js'
import { StandInUpstream } from './StandInUpstream.js'

const CRASH_EXIT_CODE = 70

const settings = JSON.parse(process.argv[2] ?? '[]') as StandInSettings[]
const upstreams = settings.map((each) => new StandInUpstream(completeStandInSettings(each), () => process.exit(CRASH_EXIT_CODE), leave))

let isLeaving = false

function leave (): void {
  if (isLeaving) return
  isLeaving = true
  Promise.all(upstreams.map(async (upstream) => await upstream.leave())).then(
    () => process.exit(0),
    () => process.exit(1)
  )
}

process.on('SIGTERM', leave)

for (const upstream of upstreams) console.log(`ready ${await upstream.start()}`)
