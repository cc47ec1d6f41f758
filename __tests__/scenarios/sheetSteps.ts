import { readFileSync } from 'node:fs'
import { composeSheet, type SheetContent } from './composeSheet.js'
import type { ScenarioStep } from './ScenarioStep.js'
import { readNumberOption, readWord, type StepRunner } from './StepRunner.js'
import type { World } from './World.js'

/**
 * `submit NUMBER [at=HOST] [name=NAME] [draining=PLACE,…] [cap=N] [cap-of=SERVICE@PLACE:N,…] [shares=PLACE:N,…] [link=N]`: submits
 * a sheet that is generated from the scenario's domains and services. `submit file FILE` submits a file.
 */
export const submit: StepRunner = async (world, step) => {
  const [firstHost] = [...world.hosts.keys()]
  const host = world.selectHosts(step.options.get('at') ?? firstHost ?? '')[0]
  if (host === undefined) throw new Error(`line ${step.line}: no such host`)
  const text = step.words[0] === 'file' ? readFileSync(readWord(step, 1), 'utf8') : composeSheet(composeContent(world, step))
  const name = step.options.get('name') ?? readWord(step, 0)
  const startedAt = performance.now()
  const reply = await world.callOperator(host, 'POST', '/v1/sheets', text)
  world.submissions.set(name, { name, number: world.sheet.number, host: host.name, reply })
  world.notes.push(`submit ${name} at ${host.name}: ${reply.status} ${JSON.stringify(reply.body)} after ${Math.round(performance.now() - startedAt)} ms`)
}

/** `submit-together NUMBER@HOST:CAP … [OPTION …]`: submits different sheets at the same time, as competing operators do. */
export const submitTogether: StepRunner = async (world, step) => {
  await Promise.all(step.words.map(async (word) => {
    const [number = '', rest = ''] = word.split('@')
    const [host = '', cap = ''] = rest.split(':')
    const options = new Map([...step.options, ['at', host], ['cap', cap], ['name', `${number}@${host}`]])
    await submit(world, { ...step, words: [number], options })
  }))
}

/** `submit-many FIRST LAST [at=HOST]`: submits many sheets, one after the other. */
export const submitMany: StepRunner = async (world, step) => {
  for (let number = Number(readWord(step, 0)); number <= Number(readWord(step, 1)); number += 1) {
    await submit(world, { ...step, words: [String(number)] })
  }
}

/** `operator METHOD PATH [at=HOST] [name=NAME]`: calls a path of the operator interface. */
export const callOperatorPath: StepRunner = async (world, step) => {
  const host = world.selectHosts(step.options.get('at') ?? 'all')[0]
  if (host === undefined) throw new Error(`line ${step.line}: no such host`)
  const method = readWord(step, 0) === 'POST' ? 'POST' : 'GET'
  const reply = await world.callOperator(host, method, readWord(step, 1))
  world.submissions.set(step.options.get('name') ?? 'operator', { name: readWord(step, 1), number: 0, host: host.name, reply })
  world.notes.push(`${method} ${readWord(step, 1)} at ${host.name}: ${reply.status} ${JSON.stringify(reply.body)}`)
}

function composeContent (world: World, step: ScenarioStep): SheetContent {
  const drainingPlaces = step.options.get('draining')
  const capOverrides = (step.options.get('cap-of') ?? '').split(',').filter((each) => each !== '').map((each): [string, number] => {
    const [target = '', cap] = each.split(':')
    return [target.replace('@', ' '), Number(cap)]
  })
  const shareOverrides = (step.options.get('shares') ?? '').split(',').filter((each) => each !== '').map((each): [string, number] => {
    const [place = '', share] = each.split(':')
    return [place, Number(share)]
  })
  return {
    ...world.sheet,
    number: Number(readWord(step, 0)),
    drainingPlaces: drainingPlaces === undefined ? [] : drainingPlaces.split(','),
    capRequestsPerSecond: readNumberOption(step, 'cap', world.sheet.capRequestsPerSecond),
    capOverrides: new Map(capOverrides),
    shareOverrides: new Map(shareOverrides),
    linkMegabitsPerSecond: readNumberOption(step, 'link', world.sheet.linkMegabitsPerSecond)
  }
}
