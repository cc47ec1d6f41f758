import { FlowDirection } from './FlowDirection.js'
import type { Forwarder } from './Forwarder.js'
import { parseMilliseconds } from './parseScenario.js'
import type { ScenarioStep } from './ScenarioStep.js'
import { readWord, type StepRunner } from './StepRunner.js'
import type { World } from './World.js'

/** `connect-directly`: lets hosts connect to each other without forwarders; the step must come before `start`. */
export const connectDirectly: StepRunner = (world) => {
  world.hasDirectConnections = true
}

/**
 * `cut A B [one-way]`: holds back all traffic between hosts, failure domains or regions, with `one-way` only on connections
 * that A opens.
 * `cut from=A to=B`: holds back every byte that A sends to B, both requests and answers, while the bytes of B arrive.
 */
export const cut: StepRunner = (world, step) => {
  const from = step.options.get('from')
  const to = step.options.get('to')
  if (from !== undefined && to !== undefined) cutBytes(world, from, to)
  else for (const forwarder of selectForwarders(world, step)) forwarder.cut()
}

/** `isolate A`: cuts A off from all other hosts. */
export const isolate: StepRunner = (world, step) => {
  const isolatedHosts = world.selectHosts(readWord(step, 0))
  const otherHosts = [...world.hosts.values()].filter((host) => !isolatedHosts.includes(host))
  for (const isolatedHost of isolatedHosts) {
    for (const otherHost of otherHosts) {
      world.findForwarder(isolatedHost.name, otherHost.name)?.cut()
      world.findForwarder(otherHost.name, isolatedHost.name)?.cut()
    }
  }
}

/** `heal`: ends all cuts. */
export const heal: StepRunner = (world) => {
  for (const from of world.hosts.keys()) {
    for (const to of world.hosts.keys()) world.findForwarder(from, to)?.heal()
  }
}

/** `delay A B TIME`: delays all traffic between hosts, failure domains or regions. */
export const delay: StepRunner = (world, step) => {
  for (const forwarder of selectForwarders(world, step)) forwarder.setDelay(parseMilliseconds(readWord(step, 2)))
}

function cutBytes (world: World, from: string, to: string): void {
  for (const { name: sender } of world.selectHosts(from)) {
    for (const { name: receiver } of world.selectHosts(to)) {
      world.findForwarder(sender, receiver)?.cut([FlowDirection.ToTarget])
      world.findForwarder(receiver, sender)?.cut([FlowDirection.ToClient])
    }
  }
}

function selectForwarders (world: World, step: ScenarioStep): Forwarder[] {
  const fromHosts = world.selectHosts(readWord(step, 0))
  const toHosts = world.selectHosts(readWord(step, 1))
  const isOneWay = step.words.includes('one-way')
  const forwarders = fromHosts.flatMap((from) => toHosts.flatMap((to) => {
    const reverse = isOneWay ? undefined : world.findForwarder(to.name, from.name)
    return [world.findForwarder(from.name, to.name), reverse]
  }))
  return forwarders.filter((forwarder): forwarder is Forwarder => forwarder !== undefined)
}
