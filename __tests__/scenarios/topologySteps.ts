import { join } from 'node:path'
import { completeStandInSettings } from '../standins/completeStandInSettings.js'
import { LoadReport } from '../standins/LoadReport.js'
import { ServiceTimeShape } from '../standins/ServiceTimeShape.js'
import { ChildProcess } from './ChildProcess.js'
import { readNumberOption, readWord, type StepRunner } from './StepRunner.js'

const STAND_IN_SCRIPT = 'build/__tests__/standins/main.js'
const UPSTREAM_PORT = 8000
const FIRST_UPSTREAM_NUMBER = 100

/** `seed N`: sets the seed of the scenario. */
export const setSeed: StepRunner = (world, step) => {
  world.seed = Number(readWord(step, 0))
}

/** `domain NAME REGION`: adds a failure domain. */
export const addDomain: StepRunner = (world, step) => {
  world.regionsByDomain.set(readWord(step, 0), readWord(step, 1))
}

/** `timing NAME=VALUE …`: adds lines to the timings section in the settings file of every host. */
export const setTimings: StepRunner = (world, step) => {
  for (const [name, value] of step.options) world.timings.set(name, value)
}

/** `host NAME DOMAIN [disk]`: adds a host. */
export const addHost: StepRunner = (world, step) => {
  const domain = readWord(step, 1)
  const region = world.regionsByDomain.get(domain)
  if (region === undefined) throw new Error(`line ${step.line}: no failure domain is named ${domain}`)
  world.addHost(readWord(step, 0), domain, region, step.words.includes('disk'))
}

/** `service NAME CLASS`: adds a service to every later sheet. */
export const addService: StepRunner = (world, step) => {
  world.sheet.classesByService.set(readWord(step, 0), readWord(step, 1))
}

/** `upstream SERVICE DOMAIN [count=1] [slots=3] [work=20] [shape=constant] [cold=0] [cold-factor=1] [load=truth]`: adds stand-in upstreams. */
export const addUpstreams: StepRunner = (world, step) => {
  const service = readWord(step, 0)
  const domain = readWord(step, 1)
  const hosts = world.selectHosts(domain).map((host) => host.guestAddress)
  for (let index = 1; index <= readNumberOption(step, 'count', 1); index += 1) {
    const name = `${service}-${domain}-${index}`
    const settings = completeStandInSettings({
      name,
      service,
      address: `127.${world.network.number}.${world.findDomainNumber(domain)}.${FIRST_UPSTREAM_NUMBER + world.upstreams.size}:${UPSTREAM_PORT}`,
      slots: readNumberOption(step, 'slots', 3),
      hosts,
      runLog: join(world.runLogFolder, `${name}.log`),
      seed: world.seed * 1000 + world.upstreams.size,
      serviceTimeMilliseconds: readNumberOption(step, 'work', 20),
      serviceTimeShape: step.options.get('shape') === 'exponential' ? ServiceTimeShape.Exponential : ServiceTimeShape.Constant,
      coldStartMilliseconds: readNumberOption(step, 'cold', 0),
      coldStartFactor: readNumberOption(step, 'cold-factor', 1),
      loadReport: Object.values(LoadReport).find((report) => report === step.options.get('load')) ?? LoadReport.Actual
    })
    const childProcess = new ChildProcess(name, STAND_IN_SCRIPT, [JSON.stringify([settings])], join(world.folder, `${name}.output`))
    world.upstreams.set(name, { name, domain, settings, process: childProcess })
  }
}
