import assert from 'node:assert/strict'
import type { ChildProcess } from 'node:child_process'
import { readdirSync, readFileSync } from 'node:fs'
import type { TestContext } from 'node:test'

/** Bounds on what a host process may take from its machine. */
export interface ProcessBounds {
  memoryKib: number
  descriptors: number
}

/**
 * Asserts that a host process runs, and that its resident memory, at its peak, and its open descriptors are within bounds.
 *
 * @param child - the process
 * @param bounds - the bounds
 * @param context - test that receives the figures as a diagnostic
 */
export function assertWithinBounds (child: ChildProcess, { memoryKib, descriptors }: ProcessBounds, context: TestContext): void {
  const { exitCode, signalCode, pid } = child
  assert.deepEqual({ exitCode, signalCode }, { exitCode: null, signalCode: null }, 'the host has ended')
  const peakKib = Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1])
  const openDescriptors = readdirSync(`/proc/${pid}/fd`).length
  context.diagnostic(`${peakKib} KiB at its peak, ${openDescriptors} descriptors`)
  assert.ok(peakKib < memoryKib, `${peakKib} KiB, allowed are ${memoryKib}`)
  assert.ok(openDescriptors < descriptors, `${openDescriptors} descriptors, allowed are ${descriptors}`)
}
