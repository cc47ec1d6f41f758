import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { waitUntil } from '../standins/waitUntil.js'
import type { ScenarioHost } from './ScenarioHost.js'
import { parseMilliseconds } from './parseScenario.js'
import { bootstrapReplicas } from './replicaSteps.js'
import { readWord, type StepRunner } from './StepRunner.js'
import type { World } from './World.js'

const START_TIMEOUT_MILLISECONDS = 20_000

/**
 * `start [NAME …]`: starts the named hosts and upstreams, by default all, and waits until the hosts answer.
 * Without a name it also bootstraps the replica group.
 */
export const start: StepRunner = async (world, step) => {
  const hasNames = step.words.length > 0
  const hosts = hasNames ? [...world.hosts.values()].filter((host) => step.words.includes(host.name)) : [...world.hosts.values()]
  const upstreams = hasNames ? [...world.upstreams.values()].filter((each) => step.words.includes(each.name)) : [...world.upstreams.values()]
  if (!hasNames) world.prepareHosts()
  for (const host of hosts) host.process.start()
  await Promise.all(hosts.map(async (host) => { await waitForHost(world, host) }))
  for (const upstream of upstreams) upstream.process.start()
  if (!hasNames) await bootstrapReplicas(world)
}

/** `restart HOST`: waits until the process of a host has exited, and starts it again. */
export const restart: StepRunner = async (world, step) => {
  for (const word of step.words) {
    for (const process of world.selectProcesses(word)) {
      await process.waitForExit()
      process.start()
    }
  }
}

/** `kill NAME …`: sends SIGKILL and waits for the exit. */
export const kill: StepRunner = async (world, step) => {
  await Promise.all(step.words.flatMap((word) => world.selectProcesses(word)).map(async (process) => { await process.kill() }))
}

/** `freeze NAME …`: sends SIGSTOP. */
export const freeze: StepRunner = (world, step) => {
  for (const process of step.words.flatMap((word) => world.selectProcesses(word))) process.sendSignal('SIGSTOP')
}

/** `thaw NAME …`: sends SIGCONT. */
export const thaw: StepRunner = (world, step) => {
  for (const process of step.words.flatMap((word) => world.selectProcesses(word))) process.sendSignal('SIGCONT')
}

/** `stop NAME …`: sends SIGTERM, which begins a planned stop. */
export const stop: StepRunner = (world, step) => {
  for (const process of step.words.flatMap((word) => world.selectProcesses(word))) process.sendSignal('SIGTERM')
}

/** `wipe-disk HOST`: removes the data folder of a host whose process has exited. */
export const wipeDisk: StepRunner = (world, step) => {
  for (const host of world.selectHosts(readWord(step, 0))) rmSync(join(host.folder, 'data'), { recursive: true, force: true })
}

/** `wait TIME`: waits before the next step. */
export const wait: StepRunner = async (_world, step) => {
  await sleep(parseMilliseconds(readWord(step, 0)))
}

async function waitForHost (world: World, host: ScenarioHost): Promise<void> {
  const isReady = async (): Promise<boolean> => (await world.callOperator(host, 'GET', '/v1/status')).status === 200
  if (!await waitUntil(isReady, START_TIMEOUT_MILLISECONDS)) throw new Error(`host ${host.name} did not start; see ${host.folder}/output.log`)
}
